/**
 * Decides when the list of peers is complete enough to choose home VMs. When a
 * whole fleet starts, each VM knows no others at first and would take itself
 * for a home VM of every customer.
 */
import type { Millis, MonotonicTime } from "../../../core/mod.ts";

/**
 * Time without a change after which the list counts as complete. It covers a
 * few calls for changes, and VMs that start a little later than others.
 */
const QUIET_TIME: Millis = 1_000;

/**
 * Maximum time from the start of this VM until the list counts as complete, so
 * that a VM whose list can't be loaded or never stops changing holds tokens.
 */
const MAX_SETTLING_TIME: Millis = 4_000;

/** Whether the list of peers is taken to be complete. */
export function isPeerListSettled(
  input: {
    readonly now: MonotonicTime;
    /** When this VM began to follow the list. */
    readonly startedAt: MonotonicTime;
    /**
     * When rows of VMs last changed; undefined before the list was loaded. It
     * contains the row of this VM as well.
     */
    readonly changedAt: MonotonicTime | undefined;
  },
): boolean {
  const { now, startedAt, changedAt } = input;
  if (now - startedAt >= MAX_SETTLING_TIME) return true;
  return changedAt !== undefined && now - changedAt >= QUIET_TIME;
}
