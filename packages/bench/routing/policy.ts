/**
 * The routing policies that are compared: the router's own, its choice of
 * target alone, and three baselines.
 */
import type {
  MonotonicTime,
  RandomSource,
  TargetConfig,
} from "../../core/mod.ts";
import {
  chooseTarget,
  computeHealth,
  type RoutedRequest,
  type RoutingState,
  TargetHealth,
  type TargetState,
} from "../../routing/mod.ts";

/** Input of a choice of target. */
export interface PolicyInput {
  readonly state: RoutingState;
  readonly request: RoutedRequest;
  readonly now: MonotonicTime;
  readonly random: RandomSource;
  /** Load at which a target counts as full; unlimited if absent. */
  readonly mostLoad?: number;
}

/** Returns a target, or undefined when none is usable. */
export type ChooseFunction = (input: PolicyInput) => TargetConfig | undefined;

/** A way of choosing targets, and the features that run around it. */
export interface RoutingPolicy {
  readonly name: string;
  /** Creates the choice function of one VM, which may have state of its own. */
  readonly createChooseFunction: () => ChooseFunction;
  /** Whether admission queues requests and refuses some of them early. */
  readonly hasQueue: boolean;
  /**
   * Whether retries are limited by a budget, silent targets are probed, and
   * requests that crash targets are quarantined.
   */
  readonly handlesFailures: boolean;
}

function listUsable({ state, request, now }: PolicyInput): TargetState[] {
  const usable = state.targets.listService(request.service)
    .filter((target) => !request.tried.includes(target.config.id))
    .filter((target) =>
      computeHealth(target, now) !== TargetHealth.Unreachable
    );
  const near = usable.filter((target) => target.config.region === state.region);
  return near.length > 0 ? near : usable;
}

function readReportedLoad(target: TargetState): number {
  return (target.report?.running ?? 0) + (target.report?.queued ?? 0);
}

function chooseRandom(input: PolicyInput): TargetConfig | undefined {
  const usable = listUsable(input);
  return usable[Math.floor(input.random() * usable.length)]?.config;
}

function createRoundRobin(): ChooseFunction {
  let position = 0;
  return (input) => {
    const usable = listUsable(input);
    return usable[position++ % usable.length]?.config;
  };
}

function chooseLeastReported(input: PolicyInput): TargetConfig | undefined {
  const usable = listUsable(input);
  const least = Math.min(...usable.map(readReportedLoad));
  const best = usable.filter((target) => readReportedLoad(target) === least);
  return best[Math.floor(input.random() * best.length)]?.config;
}

function chooseAnvilrail(input: PolicyInput): TargetConfig | undefined {
  const { state, ...choice } = input;
  return chooseTarget(state, choice).toMaybe().extract();
}

/** Sends each request immediately to a random target. */
export const RANDOM_POLICY: RoutingPolicy = {
  name: "random",
  createChooseFunction: () => chooseRandom,
  hasQueue: false,
  handlesFailures: false,
};

/** Sends each request immediately to the next target in turn. */
export const ROUND_ROBIN_POLICY: RoutingPolicy = {
  name: "round robin",
  createChooseFunction: () => createRoundRobin(),
  hasQueue: false,
  handlesFailures: false,
};

/**
 * Sends each request immediately to the target that reported the least load.
 */
export const LEAST_REPORTED_POLICY: RoutingPolicy = {
  name: "least reported",
  createChooseFunction: () => chooseLeastReported,
  hasQueue: false,
  handlesFailures: false,
};

/** The router's choice of target without admission and failure handling. */
export const CHOICE_ONLY_POLICY: RoutingPolicy = {
  name: "own choice only",
  createChooseFunction: () => chooseAnvilrail,
  hasQueue: false,
  handlesFailures: false,
};

/** The router's policy with all features that the daemon uses. */
export const ANVILRAIL_POLICY: RoutingPolicy = {
  name: "anvilrail",
  createChooseFunction: () => chooseAnvilrail,
  hasQueue: true,
  handlesFailures: true,
};

/** The policies of a full comparison, baselines first. */
export const POLICIES: readonly RoutingPolicy[] = [
  RANDOM_POLICY,
  ROUND_ROBIN_POLICY,
  LEAST_REPORTED_POLICY,
  CHOICE_ONLY_POLICY,
  ANVILRAIL_POLICY,
];

/** The policies of a quick comparison. */
export const QUICK_POLICIES: readonly RoutingPolicy[] = [
  ROUND_ROBIN_POLICY,
  LEAST_REPORTED_POLICY,
  ANVILRAIL_POLICY,
];
