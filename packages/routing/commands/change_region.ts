/** Changes the region of this VM. */
import type { RegionId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";

/** Sets the region of this VM; without one, all regions are treated alike. */
export function changeRegion(
  state: RoutingState,
  region: RegionId | undefined,
): RoutingState {
  if (region === undefined) delete state.region;
  else state.region = region;
  return state;
}
