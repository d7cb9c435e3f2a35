/**
 * Interns values that many entries have in common, to save memory.
 *
 * A document of 80,000 events repeats the same customers, services and kinds
 * many times. In addition, a substring keeps the whole string that it was
 * sliced from in memory; the copies made here do not.
 */
import { LRUCache } from "lru-cache";
import type { KindConfig, KindId } from "../../core/mod.ts";

const MAX_TEXTS = 50_000;
const MAX_KINDS = 5_000;

const texts = new LRUCache<string, string>({ max: MAX_TEXTS });
const kindSets = new LRUCache<string, ReadonlyMap<KindId, KindConfig>>({
  max: MAX_KINDS,
});

/**
 * Returns a shared string that is equal and does not keep a longer one in
 * memory.
 */
export function shareText(text: string): string {
  const known = texts.get(text);
  if (known !== undefined) return known;
  const copy = copyText(text);
  texts.set(copy, copy);
  return copy;
}

/** Returns an equal string that does not keep a longer one in memory. */
export function copyText(text: string): string {
  return Buffer.from(text, "utf16le").toString("utf16le");
}

/** Returns a shared map of kinds that is equal to the given one. */
export function shareKinds(
  kinds: ReadonlyMap<KindId, KindConfig>,
): ReadonlyMap<KindId, KindConfig> {
  const key = JSON.stringify([...kinds.values()]);
  const known = kindSets.get(key);
  if (known !== undefined) return known;
  kindSets.set(key, kinds);
  return kinds;
}
