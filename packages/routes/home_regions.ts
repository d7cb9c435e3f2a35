/**
 * Home regions: the regions to which the requests of a route or a customer are
 * confined. Everything that sends a request's body decides by
 * {@link isAllowedRegion} where it may go.
 */
import type { RegionId } from "../core/mod.ts";

/**
 * Names of the only regions that may receive a request's body. An empty set
 * allows none; requests without a restriction have no set.
 */
export type HomeRegions = ReadonlySet<RegionId>;

/**
 * Returns the set of the listed regions; undefined for an empty list, which
 * restricts nothing.
 *
 * @param known The sets created before, by their names. Equal lists share one
 * set, since a configuration may have many customers.
 */
export function createHomeRegions(
  names: readonly RegionId[],
  known: Map<string, HomeRegions>,
): HomeRegions | undefined {
  if (names.length === 0) return undefined;
  const key = JSON.stringify(names);
  const homes = known.get(key) ?? new Set(names);
  known.set(key, homes);
  return homes;
}

/**
 * Whether a request may be sent to a region.
 *
 * @param homes The request's home regions; undefined if it has no restriction.
 * @param region Undefined if it is not known, which allows no restricted one.
 */
export function isAllowedRegion(
  homes: HomeRegions | undefined,
  region: RegionId | undefined,
): boolean {
  return homes === undefined || (region !== undefined && homes.has(region));
}

/** Returns the regions that two restrictions, each of which may be absent, allow. */
export function combineHomeRegions(
  first: HomeRegions | undefined,
  second: HomeRegions | undefined,
): HomeRegions | undefined {
  if (first === undefined || first === second) return second;
  if (second === undefined) return first;
  return new Set([...first].filter((region) => second.has(region)));
}
