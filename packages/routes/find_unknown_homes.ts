/** Finds the home regions of a configuration that no data centre belongs to. */
import type { CustomerId, RegionId } from "../core/mod.ts";
import type { GatewayConfiguration } from "./gateway_configuration.ts";
import type { HomeRegions } from "./home_regions.ts";

/** Routes and customers whose requests are refused, and why. */
export interface UnknownHomes {
  /** Ids of the routes and customers all of whose home regions are unknown. */
  readonly routes: readonly string[];
  readonly customers: readonly CustomerId[];
  /** These home regions. */
  readonly regions: readonly RegionId[];
}

/**
 * Returns the routes and customers all of whose home regions are unknown;
 * undefined if there are none.
 */
export function findUnknownHomes(
  { routes, customers }: Pick<GatewayConfiguration, "routes" | "customers">,
  known: ReadonlySet<RegionId>,
): UnknownHomes | undefined {
  const regions = new Set<RegionId>();
  const listIds = (
    each: readonly {
      readonly id: string;
      readonly homeRegions?: HomeRegions;
    }[],
  ) =>
    each.filter(({ homeRegions }) => {
      const isUnknown = homeRegions !== undefined &&
        !hasKnownRegion(homeRegions, known);
      if (isUnknown) homeRegions.forEach((region) => regions.add(region));
      return isUnknown;
    }).map(({ id }) => id);
  const unknown = { routes: listIds(routes), customers: listIds(customers) };
  return regions.size === 0 ? undefined : { ...unknown, regions: [...regions] };
}

/** Whether any of the home regions is a known one. */
export function hasKnownRegion(
  homes: HomeRegions,
  known: ReadonlySet<RegionId>,
): boolean {
  return [...homes].some((region) => known.has(region));
}
