/** How full a target may be for a new attempt of each priority. */
import { Priority } from "../../core/mod.ts";

/**
 * Loads, as parts of a target's capacity. What comes first in priority may
 * queue at the target, where its priority is honoured too; what comes last
 * leaves room, so that the first finds a free slot in the middle of a wave.
 */
const MOST_LOAD: Readonly<Record<Priority, number>> = {
  [Priority.Safety]: 1.5,
  [Priority.Interactive]: 1.25,
  [Priority.Standard]: 1,
  [Priority.Bulk]: 0.9,
};

/** Returns the load at which a target counts as full for a priority. */
export function computeMaxLoad(priority: Priority): number {
  return MOST_LOAD[priority];
}
