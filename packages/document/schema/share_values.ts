/**
 * Interns values that many entries have in common, to save memory.
 *
 * A document of 80,000 events repeats the same customers, services and kinds
 * many times. In addition, a substring keeps the whole string that it was
 * sliced from in memory; the copies made here do not.
 */
import { LRUCache } from "lru-cache";
import type { KindConfig, KindId } from "../../core/mod.ts";

const MAX_STRINGS = 50_000;
const MAX_KINDS = 5_000;

const strings = new LRUCache<string, string>({ max: MAX_STRINGS });
const kindMaps = new LRUCache<string, ReadonlyMap<KindId, KindConfig>>({
  max: MAX_KINDS,
});

/**
 * Returns a shared string that is equal and does not keep a longer one in
 * memory.
 */
export function shareString(text: string): string {
  const known = strings.get(text);
  if (known !== undefined) return known;
  const copy = copyString(text);
  strings.set(copy, copy);
  return copy;
}

/** Returns an equal string that does not keep a longer one in memory. */
export function copyString(text: string): string {
  return Buffer.from(text, "utf16le").toString("utf16le");
}

/** Returns a shared map of kinds that is equal to the given one. */
export function shareKinds(
  kinds: ReadonlyMap<KindId, KindConfig>,
): ReadonlyMap<KindId, KindConfig> {
  const key = JSON.stringify([...kinds.values()]);
  const known = kindMaps.get(key);
  if (known !== undefined) return known;
  kindMaps.set(key, kinds);
  return kinds;
}
