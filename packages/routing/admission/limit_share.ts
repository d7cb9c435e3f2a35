/**
 * Computes the share of a customer's fleet-wide limits that one VM enforces.
 *
 * Half of a limit is divided evenly among the live VMs. The other half follows
 * the demand that each VM announced in the last gossip round. When all VMs have
 * the same announcements, the shares add up to one. A VM uses its own demand as
 * last announced, not its current demand. Otherwise, at the start of a load
 * peak, each VM would know only its own demand and take all of the other half.
 */
import {
  type CustomerId,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type VmId,
} from "../../core/mod.ts";

/** Request rate of a customer at one VM. */
export interface CustomerDemand {
  readonly customer: CustomerId;
  readonly perSecond: number;
}

/** Fraction of a limit that is divided evenly among the live VMs. */
const EVEN_FRACTION = 0.5;

/** Half-life of a request in the exponentially decayed request rate. */
const RATE_HALF_LIFE: Millis = 2_000;

/**
 * Maximum number of customers in one announcement, which keeps it below a
 * kilobyte.
 */
const MAX_ANNOUNCED_CUSTOMERS = 24;

/** An exponentially decayed request rate, as of its last update. */
interface Rate {
  perSecond: number;
  updatedAt: MonotonicTime;
}

/** Demand of customers at this VM and, as announced, at its peers. */
export class DemandTable {
  readonly #rates = new Map<CustomerId, Rate>();
  readonly #peers = new Map<VmId, ReadonlyMap<CustomerId, number>>();
  #announced: ReadonlyMap<CustomerId, number> = new Map();

  /** Counts a request for admission, whether it is admitted or refused. */
  recordRequest(customer: CustomerId, now: MonotonicTime): void {
    const increment = Math.LN2 * MILLIS_PER_SECOND / RATE_HALF_LIFE;
    const perSecond = this.#getRate(customer, now) + increment;
    this.#rates.set(customer, { perSecond, updatedAt: now });
  }

  /**
   * Returns the customers with the highest request rates, to be announced to
   * peers, and bases this VM's shares on them from now on.
   */
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

  /** Applies a peer's announcement, which replaces its previous one. */
  applyAnnouncement(vm: VmId, demand: readonly CustomerDemand[]): void {
    this.#peers.set(vm, createRateMap(demand));
  }

  /** Removes the announcements of peers that are not live. */
  filterPeers(live: ReadonlySet<VmId>): void {
    for (const vm of [...this.#peers.keys()]) {
      if (!live.has(vm)) this.#peers.delete(vm);
    }
  }

  /**
   * Returns this VM's share of a customer's limits, given the number of live
   * VMs.
   */
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
