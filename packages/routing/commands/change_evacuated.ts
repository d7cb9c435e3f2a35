/** Changes which data centres are evacuated. */
import type { DataCentreId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";

/**
 * Sets the data centres whose targets get no requests. What is known of these
 * targets stays, as do their requests in progress.
 */
export function changeEvacuated(
  state: RoutingState,
  dataCentres: ReadonlySet<DataCentreId>,
): RoutingState {
  if (dataCentres.size === 0) delete state.evacuated;
  else state.evacuated = dataCentres;
  return state;
}
