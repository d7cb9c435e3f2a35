/** Pagination of named items, sorted by name. */

/** One page of items. */
export interface Page<Item> {
  readonly items: readonly Item[];
  /** Pass as `after` to get the next page; absent on the last one. */
  readonly next?: string;
}

/** Cache of the sorted names of each map that was listed. */
const SORTED_NAMES_CACHE = new WeakMap<object, readonly string[]>();

/**
 * Returns the page of items whose names sort after a given name. The names of a
 * map are sorted once and cached, so the map must not change afterwards.
 */
export function listPage<Item>(
  items: ReadonlyMap<string, Item>,
  options: { readonly after: string; readonly limit: number },
): Page<Item> {
  const names = SORTED_NAMES_CACHE.get(items) ?? [...items.keys()].sort();
  SORTED_NAMES_CACHE.set(items, names);
  const from = findFirstAfter(names, options.after);
  const page = names.slice(from, from + options.limit);
  const found = page.map((name) => items.get(name)!);
  const last = page.at(-1);
  const hasNextPage = from + page.length < names.length && last !== undefined;
  return hasNextPage ? { items: found, next: last } : { items: found };
}

function findFirstAfter(sorted: readonly string[], name: string): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]! > name) high = middle;
    else low = middle + 1;
  }
  return low;
}
