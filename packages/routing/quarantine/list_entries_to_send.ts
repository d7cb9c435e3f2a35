/**
 * Which quarantine entries go into one message to a peer. The newest always do,
 * the others in turns, so that a message stays small however many there are and
 * a VM that starts later hears of all of them in time.
 */
import type { QuarantineEntry } from "./quarantine.ts";

/** Newest entries in each message. */
export const NEWEST_ENTRIES = 32;

/** Older entries in each message. */
export const OLDER_ENTRIES = 32;

/** Returns the entries of one message; `words` are in the order of change. */
export function listEntriesToSend(
  words: readonly QuarantineEntry[],
  round: number,
): QuarantineEntry[] {
  const older = words.slice(0, -NEWEST_ENTRIES);
  const from = (round * OLDER_ENTRIES) % Math.max(1, older.length);
  const turn = Math.min(OLDER_ENTRIES, older.length);
  const taken = Array.from(
    { length: turn },
    (_, index) => older[(from + index) % older.length]!,
  );
  return [...taken, ...words.slice(-NEWEST_ENTRIES)];
}
