/**
 * Divides the requests that a cold target tolerates among all VMs by turns on
 * the clock that they share. A turn belongs to the VM that ranks first for it by
 * rendezvous hashing among all VMs. So VMs that know different VMs disagree only
 * about the turns of the VMs that they don't all know: one that has joined and
 * is unknown to some adds its own part of the turns and no more. In the order of
 * the VMs' ids, as limits use it, one unknown VM shifts the turns of all others,
 * and two such orders together may use each turn twice.
 */
import { computeScore, type Millis, type StoreTime } from "../../core/mod.ts";
import type { ColdTurns } from "./compute_cold_turns.ts";
import type { TurnGroup } from "./turn_groups.ts";

/** The VMs among which turns are divided, and the time by their common clock. */
export interface ColdTurnClock {
  readonly group: TurnGroup;
  readonly now: StoreTime;
}

/** What decides whether this VM may send a request to a cold target. */
export interface ColdTurnInput {
  readonly turns: ColdTurns;
  /** Hash of the target, so that a VM's turns at targets differ in time. */
  readonly targetHash: number;
  readonly clock: ColdTurnClock;
  /** The last turn that this VM used; absent if it used none. */
  readonly used?: StoreTime;
}

/** Number of turns to come, for each VM, among which its next one is sought. */
const SOUGHT_TURNS_PER_VM = 3;

/**
 * Returns the time of the turn that this VM may use now, the oldest that has not
 * lapsed; undefined if it has none.
 */
export function findColdTurn(input: ColdTurnInput): StoreTime | undefined {
  const { targetHash, clock: { group, now } } = input;
  const { interval, lapse } = input.turns;
  // A turn after the present time was used before the clock was set back.
  const used = Math.min(input.used ?? -Infinity, now);
  const after = Math.max(now - lapse, used);
  for (
    let index = Math.floor(after / interval) + 1;
    index * interval <= now;
    index++
  ) {
    if (hasTurn(index, { targetHash, group })) return index * interval;
  }
  return undefined;
}

/**
 * Returns the time until this VM has its next turn at one of the targets of a
 * service, or until the end of the turns that are looked at.
 */
export function computeNextColdTurn(
  targetHashes: readonly number[],
  input: { readonly turns: ColdTurns; readonly clock: ColdTurnClock },
): Millis {
  const { turns: { interval }, clock: { group, now } } = input;
  const first = Math.floor(now / interval) + 1;
  const count = SOUGHT_TURNS_PER_VM * (group.others.length + 1);
  let index = first;
  while (
    index < first + count &&
    !targetHashes.some((targetHash) => hasTurn(index, { targetHash, group }))
  ) index++;
  return index * interval - now;
}

/** Whether this VM ranks before all others for a turn. */
function hasTurn(
  index: number,
  input: { readonly targetHash: number; readonly group: TurnGroup },
): boolean {
  const { self, others } = input.group;
  const key = computeScore(input.targetHash, index);
  const own = computeScore(key, self);
  return others.every((other) => computeScore(key, other) < own);
}
