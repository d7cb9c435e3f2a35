/**
 * Rendezvous (highest random weight) hashing. All VMs that know the same
 * members rank them in the same order for a key, and when a member leaves, only
 * the keys that were assigned to it move to other members.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns an unsigned 32-bit hash of a text: FNV-1a over its UTF-16 code units,
 * followed by a finalizer that distributes the entropy over all bits.
 */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}

/** Returns the members ordered by their score for the key, highest first. */
export function rankMembers<Member extends string>(
  key: string,
  members: readonly Member[],
): Member[] {
  const keyHash = computeHash(key);
  const scored = members.map((member) => ({
    member,
    score: computeScore(keyHash, computeHash(member)),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.member < right.member ? -1 : 1)
  );
  return scored.map((entry) => entry.member);
}

/** Returns the score of a member for a key, computed from their hashes. */
export function computeScore(keyHash: number, memberHash: number): number {
  return mixBits(keyHash ^ memberHash);
}

/** Applies the 32-bit finalizer of MurmurHash3. */
function mixBits(value: number): number {
  let mixed = value;
  mixed ^= mixed >>> 16;
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
