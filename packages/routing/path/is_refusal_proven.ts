/** Decides whether a refused connection shows that no process listens. */
import { RelayOutcome } from "../../ports/mod.ts";

/** Number of peers that must have been refused as well, if there are as many. */
const MIN_WITNESSES = 2;

/** What peers find that agrees with a refusal. */
const AGREEING: ReadonlySet<RelayOutcome> = new Set([
  RelayOutcome.Refused,
  RelayOutcome.Unlisted,
]);

/**
 * Returns whether a refusal is the target's own. A path that was lost may refuse
 * as well, and peers may have lost theirs by the same cause, so all peers that
 * were asked must agree: they were refused, or don't list the target. A VM without peers believes its own path.
 */
export function isRefusalProven(
  input: {
    readonly outcomes: readonly RelayOutcome[];
    /** Number of peers of this VM. */
    readonly peers: number;
  },
): boolean {
  const { outcomes, peers } = input;
  return outcomes.length >= Math.min(MIN_WITNESSES, peers) &&
    outcomes.every((outcome) => AGREEING.has(outcome));
}
