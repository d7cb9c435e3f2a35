/**
 * Plans orders to model engines: which model, version or adapter each is to
 * load or drop, and which role it is to have.
 *
 * Orders name the wished state and are given again until a report shows it, so
 * an order that was lost, or undone by a late order of an old holder, is
 * repaired by the next round.
 */
import type {
  Millis,
  MonotonicTime,
  ServiceId,
  TargetId,
} from "../../core/mod.ts";
import { TokenBucket } from "../token_bucket.ts";

/** What an order asks of a target. */
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
  /** Model with version, adapter, or role. */
  readonly name: string;
  readonly fence: number;
}

/** What a target is to be. */
export interface DesiredTargetState {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role?: string;
  readonly checksFencing: boolean;
  readonly longestOrder: Millis;
}

/** What a target last said it is. */
export interface ReportedTargetState {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role?: string;
  readonly leaving: boolean;
}

/** The right to give orders. */
export interface OrderPermission {
  readonly fence: number;
  /** Whether targets that ignore fencing numbers may be given orders. */
  readonly unfencedAllowed: boolean;
}

/** Most of a service's targets that may be busy with orders at once. */
const BUSY_SHARE = 0.25;

/** Loads that the weight store allows. */
export interface WeightStoreLimit {
  readonly loadsPerSecond: number;
  readonly burst: number;
}

interface OpenOrder {
  readonly service: ServiceId;
  readonly type: OrderType;
  readonly name: string;
  readonly until: MonotonicTime;
}

/** Plans orders and remembers those that have not taken effect. */
export class OrderPlanner {
  readonly #weightStore: TokenBucket;
  readonly #open = new Map<TargetId, OpenOrder>();

  constructor(limit: WeightStoreLimit, now: MonotonicTime) {
    const { loadsPerSecond, burst } = limit;
    const bucket = { perSecond: loadsPerSecond, depth: burst };
    this.#weightStore = new TokenBucket(bucket, now);
  }

  /** Returns the orders to give now and counts them as given. */
  planOrders(
    wishes: readonly DesiredTargetState[],
    options: {
      readonly facts: ReadonlyMap<TargetId, ReportedTargetState>;
      readonly right: OrderPermission;
      readonly now: MonotonicTime;
    },
  ): TargetOrder[] {
    const { facts, right, now } = options;
    this.#dropFinished(wishes, options);
    const sizes = countByService(wishes);
    const orders: TargetOrder[] = [];
    for (const wish of wishes) {
      const fact = facts.get(wish.target);
      if (fact === undefined || fact.leaving) continue;
      if (!wish.checksFencing && !right.unfencedAllowed) continue;
      const step = findStep(wish, fact);
      if (step === undefined || this.#open.has(wish.target)) continue;
      const allowed = this.#allows(wish, {
        step,
        groupSize: sizes.get(wish.service) ?? 0,
        now,
      });
      if (!allowed) continue;
      const until = now + wish.longestOrder;
      this.#open.set(wish.target, { ...step, service: wish.service, until });
      orders.push({ target: wish.target, ...step, fence: right.fence });
    }
    return orders;
  }

  /** Returns the orders that have not taken effect. */
  listOpen(): { readonly target: TargetId; readonly name: string }[] {
    return [...this.#open].map(([target, { name }]) => ({ target, name }));
  }

  #allows(
    wish: DesiredTargetState,
    options: {
      readonly step: Step;
      readonly groupSize: number;
      readonly now: MonotonicTime;
    },
  ): boolean {
    const busy = [...this.#open.values()]
      .filter((order) => order.service === wish.service);
    const most = Math.max(1, Math.floor(options.groupSize * BUSY_SHARE));
    if (busy.length >= most) return false;
    if (!isLoad(options.step.type)) return true;
    if (this.#weightStore.computeWait(1, options.now) > 0) return false;
    this.#weightStore.take(1, options.now);
    return true;
  }

  #dropFinished(
    wishes: readonly DesiredTargetState[],
    options: {
      readonly facts: ReadonlyMap<TargetId, ReportedTargetState>;
      readonly now: MonotonicTime;
    },
  ): void {
    const wishOf = new Map(wishes.map((wish) => [wish.target, wish]));
    for (const [target, order] of [...this.#open]) {
      const wish = wishOf.get(target);
      const fact = options.facts.get(target);
      const step = wish === undefined || fact === undefined
        ? undefined
        : findStep(wish, fact);
      const same = step?.type === order.type && step.name === order.name;
      if (!same || options.now >= order.until) this.#open.delete(target);
    }
  }
}

interface Step {
  readonly type: OrderType;
  readonly name: string;
}

/** Returns the next step towards a wish; loads come before unloads. */
function findStep(
  wish: DesiredTargetState,
  fact: ReportedTargetState,
): Step | undefined {
  const { LoadModel, LoadAdapter, ChangeRole } = OrderType;
  const { UnloadAdapter, UnloadModel } = OrderType;
  if (wish.role !== undefined && wish.role !== fact.role) {
    return { type: ChangeRole, name: wish.role };
  }
  return findMissing(LoadModel, wish.models, fact.models) ??
    findMissing(LoadAdapter, wish.adapters, fact.adapters) ??
    findMissing(UnloadAdapter, fact.adapters, wish.adapters) ??
    findMissing(UnloadModel, fact.models, wish.models);
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
  wishes: readonly DesiredTargetState[],
): Map<ServiceId, number> {
  const sizes = new Map<ServiceId, number>();
  for (const { service } of wishes) {
    sizes.set(service, (sizes.get(service) ?? 0) + 1);
  }
  return sizes;
}
