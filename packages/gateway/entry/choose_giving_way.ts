/** Chooses who gives way when the memory of requests is used up. */
import type { Bytes, Millis, MonotonicTime } from "../../core/mod.ts";

/**
 * Memory up to which a request is an ordinary one, which never gives way: bodies
 * of 100 KB with the blocks that they are collected in.
 */
export const ORDINARY_BYTES: Bytes = 131_072;

/**
 * Time that is added to that without progress, so that of those who all make
 * progress the ones that hold the most give way.
 */
const MIN_AGE: Millis = 500;

/** Memory that one request holds. */
export interface Holding {
  readonly bytes: Bytes;
  readonly progressAt: MonotonicTime;
}

/**
 * Returns those who give way so that enough bytes are released, or all who can:
 * first the ones that hold the most for the longest time without progress.
 */
export function chooseGivingWay<Kind extends Holding>(
  holdings: readonly Kind[],
  needed: { readonly bytes: Bytes; readonly now: MonotonicTime },
): Kind[] {
  const weigh = ({ bytes, progressAt }: Holding) =>
    bytes * (needed.now - progressAt + MIN_AGE);
  const ranked = holdings
    .filter(({ bytes }) => bytes > ORDINARY_BYTES)
    .sort((left, right) => weigh(right) - weigh(left));
  const chosen: Kind[] = [];
  let released = 0;
  for (const each of ranked) {
    if (released >= needed.bytes) break;
    chosen.push(each);
    released += each.bytes;
  }
  return chosen;
}
