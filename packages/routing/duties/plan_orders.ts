/**
 * Plans orders to model engines: which model version or adapter each one loads
 * or unloads next, and which role it takes.
 *
 * Orders are derived from the desired state and repeated until a report shows
 * that state. So the next round corrects an order that was lost, or that was
 * undone by a late order of a previous holder of the duty.
 */
import type {
  Millis,
  MonotonicTime,
  ServiceId,
  TargetId,
} from "../../core/mod.ts";
import { TokenBucket } from "../token_bucket.ts";

/** What an order tells a target to do. */
export enum OrderType {
  LoadModel = "load-model",
  UnloadModel = "unload-model",
  LoadAdapter = "load-adapter",
  UnloadAdapter = "unload-adapter",
  ChangeRole = "change-role",
}

/** One order to one target. */
export interface TargetOrder {
  readonly target: TargetId;
  readonly type: OrderType;
  /** The model with its version, the adapter, or the role. */
  readonly name: string;
  readonly fence: number;
}

/** Desired state of a target. */
export interface DesiredTargetState {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role?: string;
  /** Whether the target rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Longest time in which an order takes effect. */
  readonly longestOrder: Millis;
}

/** State of a target by its last report. */
export interface ReportedTargetState {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role?: string;
  readonly leaving: boolean;
}

/** Permission to give orders, from holding the duty. */
export interface OrderPermission {
  readonly fence: number;
  /** Whether targets that ignore fencing numbers may be given orders. */
  readonly unfencedAllowed: boolean;
}

/** Maximum share of a service's targets with an open order at once. */
const MAX_OPEN_SHARE = 0.25;

/** Rate limit of loads from the weight store, which keeps the model weights. */
export interface WeightStoreLimit {
  readonly loadsPerSecond: number;
  readonly burst: number;
}

/** An order that was given and has not taken effect. */
interface OpenOrder {
  readonly service: ServiceId;
  readonly type: OrderType;
  readonly name: string;
  /** When the order no longer counts as open, even if it did not take effect. */
  readonly until: MonotonicTime;
}

/** Plans orders and tracks those that have not taken effect. */
export class OrderPlanner {
  readonly #weightStore: TokenBucket;
  readonly #openOrders = new Map<TargetId, OpenOrder>();

  constructor(limit: WeightStoreLimit, now: MonotonicTime) {
    const { loadsPerSecond, burst } = limit;
    const bucket = { perSecond: loadsPerSecond, depth: burst };
    this.#weightStore = new TokenBucket(bucket, now);
  }

  /** Returns the orders to give now and records them as open. */
  planOrders(
    desiredStates: readonly DesiredTargetState[],
    options: {
      /** Reported states by target; a target without one gets no order. */
      readonly facts: ReadonlyMap<TargetId, ReportedTargetState>;
      /** Fencing number of the orders, and which targets may get them. */
      readonly right: OrderPermission;
      readonly now: MonotonicTime;
    },
  ): TargetOrder[] {
    const { facts, right, now } = options;
    this.#removeFinished(desiredStates, options);
    const targetCounts = countByService(desiredStates);
    const orders: TargetOrder[] = [];
    for (const desired of desiredStates) {
      const reported = facts.get(desired.target);
      if (reported === undefined || reported.leaving) continue;
      if (!desired.checksFencing && !right.unfencedAllowed) continue;
      const step = findStep(desired, reported);
      if (step === undefined || this.#openOrders.has(desired.target)) continue;
      const allowed = this.#tryStartOrder(desired, {
        step,
        targetCount: targetCounts.get(desired.service) ?? 0,
        now,
      });
      if (!allowed) continue;
      const until = now + desired.longestOrder;
      this.#openOrders.set(desired.target, {
        ...step,
        service: desired.service,
        until,
      });
      orders.push({ target: desired.target, ...step, fence: right.fence });
    }
    return orders;
  }

  /** Returns the orders that have not taken effect. */
  listOpen(): { readonly target: TargetId; readonly name: string }[] {
    return [...this.#openOrders].map(([target, { name }]) => ({
      target,
      name,
    }));
  }

  /**
   * Returns whether an order may be given now. If so, a load is charged to the
   * rate limit of the weight store.
   */
  #tryStartOrder(
    desired: DesiredTargetState,
    options: {
      readonly step: Step;
      readonly targetCount: number;
      readonly now: MonotonicTime;
    },
  ): boolean {
    const openOrders = [...this.#openOrders.values()]
      .filter((order) => order.service === desired.service);
    const maxOpen = Math.max(
      1,
      Math.floor(options.targetCount * MAX_OPEN_SHARE),
    );
    if (openOrders.length >= maxOpen) return false;
    if (!isLoad(options.step.type)) return true;
    if (this.#weightStore.computeWait(1, options.now) > 0) return false;
    this.#weightStore.take(1, options.now);
    return true;
  }

  /** Removes open orders that took effect, are obsolete, or timed out. */
  #removeFinished(
    desiredStates: readonly DesiredTargetState[],
    options: {
      readonly facts: ReadonlyMap<TargetId, ReportedTargetState>;
      readonly now: MonotonicTime;
    },
  ): void {
    const desiredByTarget = new Map(
      desiredStates.map((desired) => [desired.target, desired]),
    );
    for (const [target, order] of [...this.#openOrders]) {
      const desired = desiredByTarget.get(target);
      const reported = options.facts.get(target);
      const step = desired === undefined || reported === undefined
        ? undefined
        : findStep(desired, reported);
      const same = step?.type === order.type && step.name === order.name;
      if (!same || options.now >= order.until) this.#openOrders.delete(target);
    }
  }
}

/** One change of a target's state, which one order carries out. */
interface Step {
  readonly type: OrderType;
  readonly name: string;
}

/**
 * Returns the next step towards the desired state, if any: first the role, then
 * loads, then unloads.
 */
function findStep(
  desired: DesiredTargetState,
  reported: ReportedTargetState,
): Step | undefined {
  const { LoadModel, LoadAdapter, ChangeRole } = OrderType;
  const { UnloadAdapter, UnloadModel } = OrderType;
  if (desired.role !== undefined && desired.role !== reported.role) {
    return { type: ChangeRole, name: desired.role };
  }
  return findMissing(LoadModel, desired.models, reported.models) ??
    findMissing(LoadAdapter, desired.adapters, reported.adapters) ??
    findMissing(UnloadAdapter, reported.adapters, desired.adapters) ??
    findMissing(UnloadModel, reported.models, desired.models);
}

function findMissing(
  type: OrderType,
  wanted: readonly string[],
  present: readonly string[],
): Step | undefined {
  const name = wanted.find((each) => !present.includes(each));
  return name === undefined ? undefined : { type, name };
}

function isLoad(type: OrderType): boolean {
  return type === OrderType.LoadModel || type === OrderType.LoadAdapter;
}

function countByService(
  desiredStates: readonly DesiredTargetState[],
): Map<ServiceId, number> {
  const targetCounts = new Map<ServiceId, number>();
  for (const { service } of desiredStates) {
    targetCounts.set(service, (targetCounts.get(service) ?? 0) + 1);
  }
  return targetCounts;
}
