/**
 * Rendezvous hashing: every VM that knows the same members orders them alike
 * for a key, and a member that leaves moves only the keys it had.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash of a text, well mixed in all bits. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}

/** Returns the members ordered by their score for the key, best first. */
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

/** Returns the score of a member for a key, from the hashes of both. */
export function computeScore(keyHash: number, memberHash: number): number {
  return mixBits(keyHash ^ memberHash);
}

function mixBits(value: number): number {
  let mixed = value;
  mixed ^= mixed >>> 16;
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
