/** Load limits of targets for new attempts, by priority. */
import { Priority } from "../../core/mod.ts";

/**
 * Limits as fractions of a target's capacity. High priorities may queue at the
 * target, which also serves by priority. The lowest priority leaves slots free,
 * so that high priorities find one during a load peak.
 */
const MAX_LOAD: Readonly<Record<Priority, number>> = {
  [Priority.Safety]: 1.5,
  [Priority.Interactive]: 1.25,
  [Priority.Standard]: 1,
  [Priority.Bulk]: 0.9,
};

/** Returns the load at which a target counts as full for a priority. */
export function computeMaxLoad(priority: Priority): number {
  return MAX_LOAD[priority];
}
