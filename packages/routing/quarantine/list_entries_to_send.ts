/**
 * Selects the quarantine entries of one message to a peer. Each message has the
 * newest entries and a few older ones, which successive messages cycle through.
 * So a message stays small however many entries there are, and a VM that starts
 * later still receives all of them over time.
 */
import type { QuarantineEntry } from "./quarantine.ts";

/** Number of newest entries in each message. */
export const NEWEST_ENTRIES = 32;

/** Maximum number of older entries in each message. */
export const OLDER_ENTRIES = 32;

/**
 * Returns the entries of one message. `entries` has all entries, the least
 * recently changed first; `round` increases by one with each message.
 */
export function listEntriesToSend(
  entries: readonly QuarantineEntry[],
  round: number,
): QuarantineEntry[] {
  const older = entries.slice(0, -NEWEST_ENTRIES);
  const from = (round * OLDER_ENTRIES) % Math.max(1, older.length);
  const olderCount = Math.min(OLDER_ENTRIES, older.length);
  const selected = Array.from(
    { length: olderCount },
    (_, index) => older[(from + index) % older.length]!,
  );
  return [...selected, ...entries.slice(-NEWEST_ENTRIES)];
}
