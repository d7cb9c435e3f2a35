/**
 * Chooses a target for a request whose prompt is described by its parts.
 *
 * Answers the load in which many prompts share long beginnings: reading one a
 * second time costs more than most waits. All VMs rank the same targets for the
 * same beginning, so that it is read in one place without a word between them,
 * and leave that place only when its backlog costs more than reading again.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  computeHash,
  computeScore,
  type Millis,
  type MonotonicTime,
  type Refusal,
  type RegionId,
  type ServiceId,
  type TargetConfig,
  type TargetId,
  type Tokens,
} from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import {
  computeHealth,
  TargetHealth,
  type TargetState,
} from "../target_state.ts";
import { computeOthers } from "./compute_load.ts";
import { createNoRoom, createNoTarget } from "./create_refusals.ts";

/** What a placement is made from. */
export interface PlacementInput {
  readonly service: ServiceId;
  /** Names the shared beginning of the prompt; absent when nothing is shared. */
  readonly beginning?: string;
  /** Tokens of the shared beginning. */
  readonly sharedTokens: Tokens;
  /** Targets that attempts of this request have used. */
  readonly tried: readonly TargetId[];
  /** The VM's own data centre, which is preferred among equals. */
  readonly dataCentre: string;
  readonly now: MonotonicTime;
}

/** A target that was chosen, and what decided it. */
export interface Placement {
  readonly target: TargetConfig;
  /** Work at it as a part of its slots, by own attempts and its last word. */
  readonly load: number;
  /** Age of its last word on its load; absent if there was none. */
  readonly loadAge?: Millis;
  /** Whether the prompt's beginning is expected to be there. */
  readonly isHolder: boolean;
  /** Targets that could be chosen. */
  readonly usable: number;
}

/** Unread prompt tokens that delay a request as much as a full batch does. */
const FULL_BATCH_TOKENS: Tokens = 12_000;

/** How much dearer reading a shared beginning again is than waiting as long. */
const READ_AGAIN_WEIGHT = 3;

/**
 * Round trip and price of another region, as tokens that could be read: a third
 * of a full batch. A region whose callers come in a wave is carried by the
 * others before its own answers slow down.
 */
const REGION_TOKENS: Tokens = 4_000;

/** How much dearer than the way reading again must be to go the way. */
const LONG_WAY = 2;

/** Price of the link to another data centre, as tokens that could be read. */
const DATA_CENTRE_TOKENS: Tokens = 150;

/** Work beyond its slots that a target may be given, as a part of them. */
const MOST_LOAD = 1.25;

/** Age up to which a target's own word that it is full is believed. */
const FULL_WORD_AGE: Millis = 1_000;

interface Candidate {
  readonly target: TargetState;
  readonly cost: number;
  readonly load: number;
  /** Whether the target itself said lately that it has no room. */
  readonly isFull: boolean;
}

/** Returns the target whose wait and reading cost least. */
export function choosePlacement(
  state: RoutingState,
  input: PlacementInput,
): Either<Refusal, Placement> {
  const usable = state.targets.listService(input.service)
    .filter((target) => isUsable(target, input));
  if (usable.length === 0) return Left(createNoTarget());
  const holders = findHolders(usable, input);
  let best: Candidate | undefined;
  for (const target of usable) {
    const candidate = computeCandidate(state, target, { ...input, holders });
    if (candidate.isFull) continue;
    if (best === undefined || candidate.cost < best.cost) best = candidate;
  }
  if (best === undefined) return Left(createNoRoom());
  const { target, load } = best;
  const report = target.report;
  return Right({
    target: target.config,
    load,
    isHolder: holders.has(target.config.id),
    usable: usable.length,
    ...(report === undefined ? {} : { loadAge: input.now - report.measuredAt }),
  });
}

/**
 * Returns the targets at which a beginning is expected. All VMs rank them alike.
 * A long beginning has one place for all regions, since reading it again costs
 * more than the way to another region; a short one has a place in each, so that
 * a request that goes there meets what that region's callers left.
 */
function findHolders(
  usable: readonly TargetState[],
  input: PlacementInput,
): ReadonlySet<TargetId> {
  const { beginning, sharedTokens } = input;
  if (beginning === undefined) return new Set();
  const isLong = sharedTokens * READ_AGAIN_WEIGHT > LONG_WAY * REGION_TOKENS;
  const keyHash = computeHash(beginning);
  const best = new Map<RegionId, { id: TargetId; score: number }>();
  for (const { config: { id, region } } of usable) {
    const place = isLong ? "" : region;
    const score = computeScore(keyHash, computeHash(id));
    const known = best.get(place);
    if (known === undefined || score > known.score) {
      best.set(place, { id, score });
    }
  }
  return new Set([...best.values()].map((each) => each.id));
}

function computeCandidate(
  state: RoutingState,
  target: TargetState,
  input: PlacementInput & { readonly holders: ReadonlySet<TargetId> },
): Candidate {
  const { config } = target;
  const work = target.inFlight + computeOthers(state, target, input.now);
  const load = work / config.capacity;
  const isHeld = input.holders.has(config.id);
  const missing = isHeld ? 0 : input.sharedTokens * READ_AGAIN_WEIGHT;
  const away = isInRegion(target, state.region) ? 0 : REGION_TOKENS;
  const across = config.dataCentre === input.dataCentre
    ? 0
    : DATA_CENTRE_TOKENS;
  const waiting = target.unreadTokens + load * FULL_BATCH_TOKENS;
  return {
    target,
    load,
    cost: waiting + missing + away + across,
    isFull: isFull(target, input.now),
  };
}

/** What was only guessed from other targets refuses nobody. */
function isFull(target: TargetState, now: MonotonicTime): boolean {
  const { report, inFlight, config } = target;
  if (report === undefined) return false;
  if (now - report.measuredAt > FULL_WORD_AGE) return false;
  return (inFlight + report.latestOthersInFlight) / config.capacity >=
    MOST_LOAD;
}

function isUsable(target: TargetState, input: PlacementInput): boolean {
  if (input.tried.includes(target.config.id)) return false;
  const health = computeHealth(target, input.now);
  if (health === TargetHealth.Probation) return target.inFlight === 0;
  return health === TargetHealth.Healthy;
}

function isInRegion(
  target: TargetState,
  region: RegionId | undefined,
): boolean {
  return region === undefined || target.config.region === region;
}
