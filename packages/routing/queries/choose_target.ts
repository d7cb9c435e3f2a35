/** Chooses the target of an attempt, by load, cached prefixes and region. */
import { type Either, Left, Right } from "purify-ts";
import {
  type MonotonicTime,
  type RandomSource,
  type Refusal,
  type RegionId,
  type ServiceId,
  type TargetConfig,
  type TargetId,
  type Tokens,
} from "../../core/mod.ts";
import type { PrefixHolder } from "../prefix_table.ts";
import {
  DEFAULT_PRIORITY,
  type RoutedRequest,
  type RoutingState,
} from "../state.ts";
import {
  computeHealth,
  TargetHealth,
  type TargetState,
} from "../target_state.ts";
import { computeFullness, computeLoad } from "./compute_load.ts";
import { createNoTarget, createOverloaded } from "./create_refusals.ts";

/** Maximum number of random draws to find two usable targets. */
const MAX_DRAWS = 8;

/**
 * Maximum number of targets searched if the draws found fewer than two usable
 * targets, or if the cheaper of the two is full.
 */
const MAX_SEARCHED = 48;

/**
 * Unread prompt tokens that delay a prompt as much as a full batch, which is a
 * load of 1.
 */
const TOKENS_PER_LOAD: Tokens = 8_192;

/**
 * Extra cost, as a load, that is accepted for a holder of a prefix of unknown
 * length.
 */
const AFFINITY_SLACK = 0.15;

/** Load up to which a holder may be busier than the sampled target. */
const AFFINITY_MAX_LOAD = 0.6;

/**
 * Load of the best target in this VM's region at which other regions are
 * considered.
 */
const SPILL_LOAD = 1;

/**
 * Difference by which the load of a target in another region must be lower, to
 * make up for the use of the link.
 */
const REGION_COST = 0.5;

/** Input of `chooseTarget`. */
export interface ChooseInput {
  readonly request: RoutedRequest;
  readonly now: MonotonicTime;
  readonly random: RandomSource;
  /** Load at which a target counts as full; unlimited if absent. */
  readonly mostLoad?: number;
}

/** A usable target and the estimates by which it is compared. */
interface Candidate {
  readonly target: TargetState;
  readonly load: number;
  /** The load plus the target's unread prompt tokens, expressed as a load. */
  readonly cost: number;
  /** Load estimate that decides whether the target is full. */
  readonly fullness: number;
}

/**
 * Returns the target of an attempt: a holder of the prompt's prefix unless it is
 * much busier, else the less busy of two sampled targets (power of two choices).
 * Targets of other regions are considered only if the link has spare capacity
 * and this VM's region has no usable target or its best one has a load of at
 * least `SPILL_LOAD`. Returns a refusal if no target is usable or the best one
 * is full.
 */
export function chooseTarget(
  state: RoutingState,
  input: ChooseInput,
): Either<Refusal, TargetConfig> {
  const regions = state.targets.listRegions(input.request.service);
  const own = chooseInRegions(state, input, regions.filter(isOwnRegion));
  const spill = own === undefined || own.load >= SPILL_LOAD;
  const remote = spill ? chooseRemote(state, input, regions) : undefined;
  const best = chooseOwnOrRemote(own, remote);
  if (best === undefined) return Left(createNoTarget());
  return isBelowMaxLoad(best, input)
    ? Right(best.target.config)
    : Left(createOverloaded());

  function isOwnRegion(region: RegionId): boolean {
    return state.region === undefined || region === state.region;
  }
}

function chooseRemote(
  state: RoutingState,
  input: ChooseInput,
  regions: readonly RegionId[],
): Candidate | undefined {
  const priority = input.request.priority ?? DEFAULT_PRIORITY;
  const reachable = regions
    .filter((region) => state.region !== undefined && region !== state.region)
    .filter((region) =>
      state.links.hasCapacity(region, { priority, now: input.now })
    );
  return chooseInRegions(state, input, reachable);
}

function chooseOwnOrRemote(
  own: Candidate | undefined,
  remote: Candidate | undefined,
): Candidate | undefined {
  if (own === undefined || remote === undefined) return own ?? remote;
  return remote.load + REGION_COST < own.load ? remote : own;
}

function chooseInRegions(
  state: RoutingState,
  input: ChooseInput,
  regions: readonly RegionId[],
): Candidate | undefined {
  const { service } = input.request;
  const [region] = regions;
  const ids = regions.length === 1 && region !== undefined
    ? state.targets.listIdsInRegion(service, region)
    : regions.flatMap((each) => state.targets.listIdsInRegion(service, each));
  const sampled = chooseBySampling(state, input, ids);
  if (sampled === undefined) return undefined;
  const holder = findHolder(state, input, regions);
  const { prefixTokens } = input.request;
  if (holder === undefined || !isWorthwhile(holder, sampled, prefixTokens)) {
    return sampled;
  }
  return isBelowMaxLoad(holder, input) ? holder : sampled;
}

/**
 * Returns whether a holder is preferred to the sampled target. It may cost more
 * by the prefill that its cached prefix saves, unless it is nearly full.
 */
function isWorthwhile(
  holder: Candidate,
  sampled: Candidate,
  prefixTokens: Tokens | undefined,
): boolean {
  const saved = prefixTokens === undefined
    ? AFFINITY_SLACK
    : prefixTokens / TOKENS_PER_LOAD;
  return holder.cost <= sampled.cost + saved &&
    holder.load <= Math.max(sampled.load, AFFINITY_MAX_LOAD);
}

function chooseBySampling(
  state: RoutingState,
  input: ChooseInput,
  ids: readonly TargetId[],
): Candidate | undefined {
  const found: Candidate[] = [];
  for (let draw = 0; draw < MAX_DRAWS && found.length < 2; draw++) {
    const id = ids[Math.floor(input.random() * ids.length)];
    if (found.some((each) => each.target.config.id === id)) continue;
    const candidate = findCandidate(state, input, id);
    if (candidate !== undefined) found.push(candidate);
  }
  const best = chooseCheapest(found);
  if (found.length === 2 && best !== undefined && isBelowMaxLoad(best, input)) {
    return best;
  }
  return chooseBySearch(state, input, ids) ?? best;
}

/**
 * Samples two of the usable targets that are not full, or of all usable ones if
 * all are full, and returns the cheaper. Of many targets, only `MAX_SEARCHED`
 * from a random offset are searched, to bound the cost of a choice.
 */
function chooseBySearch(
  state: RoutingState,
  input: ChooseInput,
  ids: readonly TargetId[],
): Candidate | undefined {
  const usable = listIdsToSearch(ids, input)
    .map((id) => findCandidate(state, input, id))
    .filter((candidate) => candidate !== undefined);
  const notFull = usable.filter((candidate) =>
    isBelowMaxLoad(candidate, input)
  );
  const pool = notFull.length > 0 ? notFull : usable;
  const first = Math.floor(input.random() * pool.length);
  const step = 1 + Math.floor(input.random() * (pool.length - 1));
  const second = (first + step) % pool.length;
  return chooseCheapest(
    [pool[first], pool[second]].filter((each) => each !== undefined),
  );
}

function listIdsToSearch(
  ids: readonly TargetId[],
  input: ChooseInput,
): readonly TargetId[] {
  if (ids.length <= MAX_SEARCHED) return ids;
  const from = Math.floor(input.random() * ids.length);
  return Array.from(
    { length: MAX_SEARCHED },
    (_, index) => ids[(from + index) % ids.length]!,
  );
}

function findHolder(
  state: RoutingState,
  input: ChooseInput,
  regions: readonly RegionId[],
): Candidate | undefined {
  const { prefixes = [], service } = input.request;
  for (const prefix of prefixes.toReversed()) {
    const holders = state.prefixes.list(prefix)
      .filter((holder) => isCurrent(state, holder))
      .map(({ target }) => findCandidate(state, input, target))
      .filter((candidate) => isInGroup(candidate, { service, regions }));
    const best = chooseCheapest(holders);
    if (best !== undefined) return best;
  }
  return undefined;
}

function isCurrent(state: RoutingState, holder: PrefixHolder): boolean {
  return state.targets.get(holder.target)?.cacheEpoch === holder.epoch;
}

function isInGroup(
  candidate: Candidate | undefined,
  options: {
    readonly service: ServiceId;
    readonly regions: readonly RegionId[];
  },
): candidate is Candidate {
  if (candidate === undefined) return false;
  const { service, region } = candidate.target.config;
  return service === options.service && options.regions.includes(region);
}

function chooseCheapest(
  candidates: readonly Candidate[],
): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (best, each) => best === undefined || each.cost < best.cost ? each : best,
    undefined,
  );
}

function isBelowMaxLoad(candidate: Candidate, input: ChooseInput): boolean {
  return input.mostLoad === undefined || candidate.fullness < input.mostLoad;
}

function findCandidate(
  state: RoutingState,
  input: ChooseInput,
  id: TargetId | undefined,
): Candidate | undefined {
  const target = id === undefined ? undefined : state.targets.get(id);
  if (target === undefined || !isUsable(target, input)) return undefined;
  const load = computeLoad(state, target, input.now);
  return {
    target,
    load,
    cost: load + target.unreadTokens / TOKENS_PER_LOAD,
    fullness: computeFullness(state, target, input.now),
  };
}

function isUsable(target: TargetState, input: ChooseInput): boolean {
  const { request, now } = input;
  const { id } = target.config;
  if (request.tried.includes(id)) return false;
  if (request.avoided?.includes(id) === true) return false;
  const health = computeHealth(target, now);
  if (health === TargetHealth.Probation) return target.inFlight === 0;
  if (health !== TargetHealth.Healthy) return false;
  return hasModels(target, request.models ?? []);
}

function hasModels(target: TargetState, wanted: readonly string[]): boolean {
  const loaded = target.report?.models ?? [];
  // A target that lists no model is a plain service or has not reported yet.
  if (loaded.length === 0) return true;
  return wanted.every((model) => loaded.includes(model));
}
