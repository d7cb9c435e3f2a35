/**
 * The share of a customer's fleet-wide limits that one VM enforces.
 *
 * Half of a limit is spread evenly over the live VMs; the other half follows
 * the demand that each VM announced in the last round of gossip. When all VMs
 * know the same announcements, the shares add up to one. A VM uses its own
 * demand as announced, not as of now, so that the first moments of a wave do
 * not make every VM believe that it has the customer to itself.
 */
import {
  type CustomerId,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type VmId,
} from "../../core/mod.ts";

/** Requests per second that a customer sends to one VM. */
export interface CustomerDemand {
  readonly customer: CustomerId;
  readonly perSecond: number;
}

const EVEN_PART = 0.5;
const RATE_HALF_LIFE: Millis = 2_000;

/** Customers named in one announcement, so that it stays below a kilobyte. */
const MOST_ANNOUNCED = 24;

interface Rate {
  perSecond: number;
  at: MonotonicTime;
}

/** Demand of customers on this VM and, as announced, on its peers. */
export class DemandTable {
  readonly #rates = new Map<CustomerId, Rate>();
  readonly #peers = new Map<VmId, ReadonlyMap<CustomerId, number>>();
  #announced: ReadonlyMap<CustomerId, number> = new Map();

  /** Counts a request that asked to be let in, refused or not. */
  recordRequest(customer: CustomerId, now: MonotonicTime): void {
    const gained = Math.LN2 * MILLIS_PER_SECOND / RATE_HALF_LIFE;
    const perSecond = this.#readRate(customer, now) + gained;
    this.#rates.set(customer, { perSecond, at: now });
  }

  /** Announces the busiest customers; the shares follow what was announced. */
  recordAnnouncement(now: MonotonicTime): CustomerDemand[] {
    const demand = [...this.#rates.keys()]
      .map((customer) => ({
        customer,
        perSecond: this.#readRate(customer, now),
      }))
      .sort((left, right) => right.perSecond - left.perSecond)
      .slice(0, MOST_ANNOUNCED);
    this.#announced = createIndex(demand);
    this.#dropIdle(now);
    return demand;
  }

  /** Folds in a peer's announcement. It stands until the next one. */
  applyAnnouncement(vm: VmId, demand: readonly CustomerDemand[]): void {
    this.#peers.set(vm, createIndex(demand));
  }

  /** Forgets peers that are not in use any more. */
  filterPeers(live: ReadonlySet<VmId>): void {
    for (const vm of [...this.#peers.keys()]) {
      if (!live.has(vm)) this.#peers.delete(vm);
    }
  }

  /** Returns the share of a customer's limits to enforce among some VMs. */
  computeShare(customer: CustomerId, vms: number): number {
    const own = this.#announced.get(customer) ?? 0;
    let all = own;
    for (const peer of this.#peers.values()) all += peer.get(customer) ?? 0;
    const byDemand = all === 0 ? 1 / vms : own / all;
    return EVEN_PART / vms + (1 - EVEN_PART) * byDemand;
  }

  #readRate(customer: CustomerId, now: MonotonicTime): number {
    const rate = this.#rates.get(customer);
    if (rate === undefined) return 0;
    return rate.perSecond * 0.5 ** ((now - rate.at) / RATE_HALF_LIFE);
  }

  #dropIdle(now: MonotonicTime): void {
    const least = 0.01;
    for (const customer of [...this.#rates.keys()]) {
      if (this.#readRate(customer, now) < least) this.#rates.delete(customer);
    }
  }
}

function createIndex(
  demand: readonly CustomerDemand[],
): ReadonlyMap<CustomerId, number> {
  return new Map(demand.map((each) => [each.customer, each.perSecond]));
}
