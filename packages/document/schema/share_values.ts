/**
 * Keeps one copy of values that many entries have in common.
 *
 * A document of 80,000 events names the same customers, services and kinds over
 * and over. Texts that a parser cuts out of a longer one also keep the longer
 * one in memory; the copies made here do not.
 */
import { LRUCache } from "lru-cache";
import type { KindConfig, KindId } from "../../core/mod.ts";

const MAX_TEXTS = 50_000;
const MAX_KINDS = 5_000;

const texts = new LRUCache<string, string>({ max: MAX_TEXTS });
const kindSets = new LRUCache<string, ReadonlyMap<KindId, KindConfig>>({
  max: MAX_KINDS,
});

/** Returns an equal text that is shared and stands by itself. */
export function shareText(text: string): string {
  const known = texts.get(text);
  if (known !== undefined) return known;
  const copy = copyText(text);
  texts.set(copy, copy);
  return copy;
}

/** Returns an equal text that stands by itself. */
export function copyText(text: string): string {
  return Buffer.from(text, "utf16le").toString("utf16le");
}

/** Returns equal kinds that are shared. */
export function shareKinds(
  kinds: ReadonlyMap<KindId, KindConfig>,
): ReadonlyMap<KindId, KindConfig> {
  const key = JSON.stringify([...kinds.values()]);
  const known = kindSets.get(key);
  if (known !== undefined) return known;
  kindSets.set(key, kinds);
  return kinds;
}
