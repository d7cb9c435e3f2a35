/** Finds the region of a data centre by the settings. */
import type { DataCentreId, RegionId } from "../../core/mod.ts";
import type { GatewaySettings } from "../../settings/mod.ts";

/**
 * Returns the region of a data centre; undefined if the settings name none. The
 * name of a data centre comes from rows of the store and may be any text.
 */
export function findRegion(
  { regions }: Pick<GatewaySettings, "regions">,
  dataCentre: DataCentreId,
): RegionId | undefined {
  return Object.hasOwn(regions, dataCentre) ? regions[dataCentre] : undefined;
}
