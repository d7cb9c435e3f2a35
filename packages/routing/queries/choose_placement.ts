/**
 * Chooses a target by prefix affinity, for requests whose prompt is described by
 * its parts.
 *
 * It serves workloads in which many prompts share a long prefix: a second
 * prefill of the prefix costs more than most waits. All VMs rank the targets
 * alike for a prefix, so that it is cached at one target without communication
 * between VMs. Another target is chosen only when waiting for that one costs
 * more than a second prefill elsewhere.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  computeHash,
  computeScore,
  type Millis,
  type MonotonicTime,
  type Refusal,
  type RegionId,
  type ReleaseId,
  type ServiceId,
  type StoreTime,
  type TargetConfig,
  type TargetId,
  type Tokens,
} from "../../core/mod.ts";
import { type HomeRegions, isAllowedRegion } from "../../routes/mod.ts";
import type { RoutingState } from "../state.ts";
import {
  computeHealth,
  TargetHealth,
  type TargetState,
} from "../target_state.ts";
import { computeOthersInFlight } from "./compute_load.ts";
import {
  computeNextTurn,
  findTurn,
  type VmOrder,
} from "../target_limit/find_turn.ts";
import {
  createNoHomeTarget,
  createNoTarget,
  createOverloaded,
  createTargetsLimited,
  createTargetsPaused,
} from "./create_refusals.ts";
import type { ColdTurnClock } from "../cold_target/find_cold_turn.ts";
import {
  computeNextColdSend,
  findTargetColdTurn,
  isCold,
} from "../cold_target/find_target_turn.ts";

/** Input of `choosePlacement`. */
export interface PlacementInput {
  readonly service: ServiceId;
  /**
   * Identifies the shared prefix of the prompt; absent when nothing is shared.
   */
  readonly beginning?: string;
  /** Tokens of the shared prefix. */
  readonly sharedTokens: Tokens;
  /** Targets already used by attempts of this request; they are excluded. */
  readonly tried: readonly TargetId[];
  /** The only release that may be chosen; any if absent. */
  readonly release?: ReleaseId;
  /** The only regions whose targets may be chosen; any if absent. */
  readonly homeRegions?: HomeRegions;
  /** This VM's data centre; targets in others cost a little more. */
  readonly dataCentre: string;
  /**
   * The turns of this VM at targets that limit their requests; if absent, they
   * are not used.
   */
  readonly turns?: TurnClock;
  /** The same at targets that are cold. */
  readonly coldTurns?: ColdTurnClock;
  readonly now: MonotonicTime;
}

/** The place of this VM among all VMs, and the time by their common clock. */
export interface TurnClock {
  readonly order: VmOrder;
  readonly now: StoreTime;
}

/** A chosen target, and the figures on which the choice is based. */
export interface Placement {
  readonly target: TargetConfig;
  /**
   * Estimated load as a fraction of its slots, from own attempts and its last
   * report.
   */
  readonly load: number;
  /** Age of its last load report; absent if there was none. */
  readonly loadAge?: Millis;
  /**
   * Whether it is the target at which the shared prefix is expected in cache.
   */
  readonly isHolder: boolean;
  /** Number of usable targets, including full ones. */
  readonly usable: number;
  /** The turn that the attempt uses, at a target that limits its requests. */
  readonly turn?: StoreTime;
  /** The turn that the attempt uses, at a target that is cold. */
  readonly coldTurn?: StoreTime;
}

/** Unread prompt tokens that delay a request as much as a full batch does. */
const FULL_BATCH_TOKENS: Tokens = 12_000;

/** Cost of a second prefill of a shared prefix, relative to waiting as long. */
const PREFILL_WEIGHT = 3;

/**
 * Cost of the round trip and traffic to another region, in prefill tokens: a
 * third of a full batch. It is low enough that other regions take over load
 * peaks of a region before its own answers slow down.
 */
const REGION_COST_TOKENS: Tokens = 4_000;

/**
 * A prefix is long if its second prefill costs more than this multiple of
 * `REGION_COST_TOKENS`.
 */
const LONG_PREFIX_FACTOR = 2;

/** Cost of the link to another data centre, in prefill tokens. */
const DATA_CENTRE_COST_TOKENS: Tokens = 150;

/**
 * Load, as a fraction of its slots, at which a target counts as full; above 1
 * it queues.
 */
const MAX_LOAD = 1.25;

/** Maximum age of a report by which a target counts as full. */
const MAX_FULL_REPORT_AGE: Millis = 1_000;

/** A target that may be chosen, and its cost in prefill tokens. */
interface Candidate {
  readonly target: TargetState;
  readonly cost: number;
  readonly load: number;
  /** Whether a recent report of the target shows that it is full. */
  readonly isFull: boolean;
}

/**
 * Returns the target with the least cost of waiting, prefill and network, or a
 * refusal if no target is usable or all usable ones are full, limited or paused.
 */
export function choosePlacement(
  state: RoutingState,
  input: PlacementInput,
): Either<Refusal, Placement> {
  const paused = findPausedRefusal(state, input);
  if (paused !== undefined) return Left(paused);
  const listed = state.targets.listService(input.service)
    .filter((target) => isUsable(state, target, input))
    .filter((target) => !input.tried.includes(target.config.id))
    .filter((target) => computePause(target, input.now) === 0);
  if (listed.length === 0) {
    return Left(
      input.homeRegions === undefined ? createNoTarget() : createNoHomeTarget(),
    );
  }
  const usable = listed.filter((target) => mayUse(target, input));
  if (usable.length === 0) {
    return Left(createTargetsLimited(Math.max(
      computeNextSend(listed, input.turns),
      computeNextColdSend(listed, input),
    )));
  }
  const holders = findHolders(usable, input);
  let best: Candidate | undefined;
  for (const target of usable) {
    const candidate = computeCandidate(state, target, { ...input, holders });
    if (candidate.isFull) continue;
    if (best === undefined || candidate.cost < best.cost) best = candidate;
  }
  if (best === undefined) return Left(createOverloaded());
  const { target, load } = best;
  const turn = findUsableTurn(target, input.turns);
  const coldTurn = findTargetColdTurn(target, input);
  const report = target.report;
  return Right({
    target: target.config,
    load,
    isHolder: holders.has(target.config.id),
    usable: usable.length,
    ...(turn === undefined ? {} : { turn }),
    ...(coldTurn === undefined ? {} : { coldTurn }),
    ...(report === undefined ? {} : { loadAge: input.now - report.measuredAt }),
  });
}

/**
 * Returns the refusal of a request while all targets that could run it have
 * asked this VM for a pause; undefined if one has not, or if there are none.
 */
export function findPausedRefusal(
  state: RoutingState,
  input: Pick<PlacementInput, "service" | "release" | "homeRegions" | "now">,
): Refusal | undefined {
  const pauses = state.targets.listService(input.service)
    .filter((target) => isUsable(state, target, input))
    .map((target) => computePause(target, input.now));
  if (pauses.length === 0) return undefined;
  const shortest = Math.min(...pauses);
  return shortest > 0 ? createTargetsPaused(shortest) : undefined;
}

/** Returns the rest of the pause that a target asked for; 0 if none is left. */
function computePause(target: TargetState, now: MonotonicTime): Millis {
  return Math.max(0, (target.pausedUntil ?? -Infinity) - now);
}

/**
 * Returns the targets at which a shared prefix is expected in cache, by
 * rendezvous hashing, so that all VMs rank them alike. A long prefix has one
 * holder for all regions, since a second prefill costs more than the round trip
 * to another region. A short one has a holder in each region, so that a request
 * sent to another region finds the prefix cached by requests of that region.
 */
function findHolders(
  usable: readonly TargetState[],
  input: PlacementInput,
): ReadonlySet<TargetId> {
  const { beginning, sharedTokens } = input;
  if (beginning === undefined) return new Set();
  const isLong =
    sharedTokens * PREFILL_WEIGHT > LONG_PREFIX_FACTOR * REGION_COST_TOKENS;
  const keyHash = computeHash(beginning);
  const best = new Map<RegionId, { id: TargetId; score: number }>();
  for (const { config: { id, region } } of usable) {
    const scope = isLong ? "" : region;
    const score = computeScore(keyHash, computeHash(id));
    const known = best.get(scope);
    if (known === undefined || score > known.score) {
      best.set(scope, { id, score });
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
  const attempts = target.inFlight +
    computeOthersInFlight(state, target, input.now);
  const load = attempts / config.capacity;
  const isHolder = input.holders.has(config.id);
  const prefillCost = isHolder ? 0 : input.sharedTokens * PREFILL_WEIGHT;
  const regionCost = isInRegion(target, state.region) ? 0 : REGION_COST_TOKENS;
  const dataCentreCost = config.dataCentre === input.dataCentre
    ? 0
    : DATA_CENTRE_COST_TOKENS;
  const waitCost = target.unreadTokens + load * FULL_BATCH_TOKENS;
  return {
    target,
    load,
    cost: waitCost + prefillCost + regionCost + dataCentreCost,
    isFull: isFull(target, input.now),
  };
}

/**
 * Returns whether a target's own recent report shows that it is full. Load that
 * is only estimated from other targets never makes a target full.
 */
function isFull(target: TargetState, now: MonotonicTime): boolean {
  const { report, inFlight, config } = target;
  if (report === undefined) return false;
  if (now - report.measuredAt > MAX_FULL_REPORT_AGE) return false;
  return (inFlight + report.latestOthersInFlight) / config.capacity >= MAX_LOAD;
}

function isUsable(
  state: RoutingState,
  target: TargetState,
  input: Pick<PlacementInput, "release" | "homeRegions" | "now">,
): boolean {
  const { release, region, isRegionUnknown = false } = target.config;
  const knownRegion = isRegionUnknown ? undefined : region;
  if (!isAllowedRegion(input.homeRegions, knownRegion)) return false;
  if (state.evacuated?.has(target.config.dataCentre)) return false;
  if (input.release !== undefined && release !== input.release) return false;
  const health = computeHealth(target, input.now);
  if (health === TargetHealth.Probation) return target.inFlight === 0;
  return health === TargetHealth.Healthy;
}

/**
 * Whether a target sets no limit and is not cold, or this VM has a turn there:
 * one by the limit, and one by what a cold target tolerates.
 */
function mayUse(target: TargetState, input: PlacementInput): boolean {
  const isWithinLimit = target.limit?.perSecond === undefined ||
    findUsableTurn(target, input.turns) !== undefined;
  return isWithinLimit && (!isCold(target, input.now) ||
    findTargetColdTurn(target, input) !== undefined);
}

function findUsableTurn(
  { limit, config }: TargetState,
  turns: TurnClock | undefined,
): StoreTime | undefined {
  if (limit?.perSecond === undefined || turns === undefined) return undefined;
  return findTurn({
    perSecond: limit.perSecond,
    targetHash: computeHash(config.id),
    ...turns,
    ...(limit.usedTurn === undefined ? {} : { used: limit.usedTurn }),
  });
}

/** Returns the time until any VM has its next turn at one of the targets. */
function computeNextSend(
  targets: readonly TargetState[],
  turns: TurnClock | undefined,
): Millis {
  if (turns === undefined) return 0;
  return Math.min(
    ...targets.map(({ limit }) =>
      limit?.perSecond === undefined
        ? 0
        : computeNextTurn(limit.perSecond, turns.now)
    ),
  );
}

function isInRegion(
  target: TargetState,
  region: RegionId | undefined,
): boolean {
  return region === undefined || target.config.region === region;
}
