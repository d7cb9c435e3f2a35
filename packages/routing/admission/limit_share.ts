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

const EVEN_FRACTION = 0.5;
const RATE_HALF_LIFE: Millis = 2_000;

/** Customers named in one announcement, so that it stays below a kilobyte. */
const MAX_ANNOUNCED_CUSTOMERS = 24;

interface Rate {
  perSecond: number;
  updatedAt: MonotonicTime;
}

/** Demand of customers on this VM and, as announced, on its peers. */
export class DemandTable {
  readonly #rates = new Map<CustomerId, Rate>();
  readonly #peers = new Map<VmId, ReadonlyMap<CustomerId, number>>();
  #announced: ReadonlyMap<CustomerId, number> = new Map();

  /** Counts a request that asked to be let in, refused or not. */
  recordRequest(customer: CustomerId, now: MonotonicTime): void {
    const increment = Math.LN2 * MILLIS_PER_SECOND / RATE_HALF_LIFE;
    const perSecond = this.#getRate(customer, now) + increment;
    this.#rates.set(customer, { perSecond, updatedAt: now });
  }

  /** Announces the busiest customers; the shares follow what was announced. */
  recordAnnouncement(now: MonotonicTime): CustomerDemand[] {
    const demand = [...this.#rates.keys()]
      .map((customer) => ({
        customer,
        perSecond: this.#getRate(customer, now),
      }))
      .sort((left, right) => right.perSecond - left.perSecond)
      .slice(0, MAX_ANNOUNCED_CUSTOMERS);
    this.#announced = createRateMap(demand);
    this.#dropIdle(now);
    return demand;
  }

  /** Folds in a peer's announcement. It stands until the next one. */
  applyAnnouncement(vm: VmId, demand: readonly CustomerDemand[]): void {
    this.#peers.set(vm, createRateMap(demand));
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
    let total = own;
    for (const peer of this.#peers.values()) total += peer.get(customer) ?? 0;
    const byDemand = total === 0 ? 1 / vms : own / total;
    return EVEN_FRACTION / vms + (1 - EVEN_FRACTION) * byDemand;
  }

  #getRate(customer: CustomerId, now: MonotonicTime): number {
    const rate = this.#rates.get(customer);
    if (rate === undefined) return 0;
    return rate.perSecond * 0.5 ** ((now - rate.updatedAt) / RATE_HALF_LIFE);
  }

  #dropIdle(now: MonotonicTime): void {
    const minRate = 0.01;
    for (const customer of [...this.#rates.keys()]) {
      if (this.#getRate(customer, now) < minRate) this.#rates.delete(customer);
    }
  }
}

function createRateMap(
  demand: readonly CustomerDemand[],
): ReadonlyMap<CustomerId, number> {
  return new Map(demand.map((each) => [each.customer, each.perSecond]));
}
