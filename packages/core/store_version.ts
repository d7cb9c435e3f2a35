/**
 * Versions of the store over its restores. After a restore from a copy the store
 * gives out versions again, and counts the restore in its era. A version of this
 * program has both in one number, so that each version of a later era is higher
 * than all of an earlier one. In era 0 it equals the store's own number.
 */

/** Number of versions in an era; its eras and versions stay exact numbers. */
const VERSIONS_PER_ERA = 2 ** 40;

/** Highest era that a version can have. */
export const MAX_ERA = 2 ** 13 - 1;

/** Returns the version for a number that the store gave out in an era. */
export function createStoreVersion(era: number, number: number): number {
  return era * VERSIONS_PER_ERA + number;
}

/** Returns the era of a version. */
export function readEra(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/** Returns the store's own number of a version. */
export function readStoreNumber(version: number): number {
  return version % VERSIONS_PER_ERA;
}
