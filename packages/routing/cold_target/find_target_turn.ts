/** Reads from a target's state whether this VM may send it a request while cold. */
import {
  computeHash,
  type Millis,
  type MonotonicTime,
  type StoreTime,
} from "../../core/mod.ts";
import type { TargetState } from "../target_state.ts";
import {
  type ColdTurnClock,
  computeNextColdTurn,
  findColdTurn,
} from "./find_cold_turn.ts";

/** What decides about a request to a target that may be cold. */
export interface ColdChoiceInput {
  /**
   * The turns of this VM at cold targets; if absent, such targets get none of
   * its requests.
   */
  readonly coldTurns?: ColdTurnClock;
  readonly now: MonotonicTime;
}

/** Whether a target is cold, so that a request to it needs a turn. */
export function isCold(target: TargetState, now: MonotonicTime): boolean {
  return target.cold !== undefined && now < target.cold.until;
}

/** Returns this VM's turn at a cold target; undefined if it has none. */
export function findTargetColdTurn(
  { config, cold }: TargetState,
  { coldTurns, now }: ColdChoiceInput,
): StoreTime | undefined {
  if (cold === undefined || now >= cold.until) return undefined;
  if (coldTurns === undefined) return undefined;
  return findColdTurn({
    turns: cold.turns,
    targetHash: computeHash(config.id),
    clock: coldTurns,
    ...(cold.usedTurn === undefined ? {} : { used: cold.usedTurn }),
  });
}

/**
 * Returns the time until this VM may send a request to one of a service's
 * targets that are cold; 0 if one is not, or if this VM has no turns.
 */
export function computeNextColdSend(
  targets: readonly TargetState[],
  { coldTurns, now }: ColdChoiceInput,
): Millis {
  const turns = targets[0]?.cold?.turns;
  if (coldTurns === undefined || turns === undefined) return 0;
  if (targets.some((target) => !isCold(target, now))) return 0;
  const hashes = targets.map(({ config }) => computeHash(config.id));
  return computeNextColdTurn(hashes, { turns, clock: coldTurns });
}
