/**
 * One VM's view of a duty's lease, on its own monotonic clock.
 *
 * A waiting VM considers a lease lapsed when the row has had the same fencing
 * number and number of renewals for the whole lease length since the VM first
 * read them. The holder counts its lease from before it sent the renewal, and
 * stops giving orders some time before the lease ends. No wall clock is used.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import type { DutyRow, SeenLease } from "./duty_row.ts";

/** Time without a renewal after which another VM may take the duty. */
export const DUTY_LEASE: Millis = 15_000;

/** Interval at which the holder renews its lease. */
export const DUTY_RENEWAL: Millis = 4_000;

/** Time before the end of its lease at which the holder stops giving orders. */
const HOLDER_MARGIN: Millis = 3_000;

/** The last state of the lease that this VM read. */
interface LeaseObservation extends SeenLease {
  /** When this VM first read this state. */
  readonly since: MonotonicTime;
}

/** The lease while this VM holds it. */
interface HeldLease {
  readonly fence: number;
  readonly renewals: number;
  /** When the last renewal, or the operation that took the duty, was sent. */
  readonly renewedAt: MonotonicTime;
  /** Time before which targets that ignore fencing numbers get no orders. */
  readonly unfencedFrom: MonotonicTime;
}

/** Tracks the lease of one duty, on its holder or on a VM that waits for it. */
export class DutyWatch {
  #observation: LeaseObservation | undefined;
  #held: HeldLease | undefined;

  /** Records the duty's row as read; undefined if no VM ever held the duty. */
  recordRow(row: DutyRow | undefined, now: MonotonicTime): void {
    if (row === undefined) return;
    const { fence, renewals } = row;
    const same = this.#observation?.fence === fence &&
      this.#observation.renewals === renewals;
    if (!same) this.#observation = { fence, renewals, since: now };
    const lost = this.#held !== undefined && this.#held.fence !== fence;
    if (lost) this.#held = undefined;
  }

  /** Returns the state of the lease if it has lapsed, for taking the duty. */
  findLapsed(now: MonotonicTime): SeenLease | undefined {
    const seen = this.#observation;
    if (seen === undefined || now - seen.since < DUTY_LEASE) return undefined;
    return { fence: seen.fence, renewals: seen.renewals };
  }

  /**
   * Records that this VM took the duty. The previous holder may have sent
   * orders up to now, which take effect within `previousLongestOrder`. Until
   * then, targets that ignore fencing numbers get no orders.
   */
  recordTaken(
    taken: {
      readonly fence: number;
      readonly renewals: number;
      readonly previousLongestOrder: Millis;
    },
    times: { readonly sentAt: MonotonicTime; readonly now: MonotonicTime },
  ): void {
    const first = taken.fence === 1;
    this.#held = {
      fence: taken.fence,
      renewals: taken.renewals,
      renewedAt: times.sentAt,
      unfencedFrom: first ? times.now : times.now + taken.previousLongestOrder,
    };
  }

  /** Records a successful renewal; `sentAt` is the time before it was sent. */
  recordRenewed(renewals: number, sentAt: MonotonicTime): void {
    if (this.#held === undefined) return;
    this.#held = { ...this.#held, renewals, renewedAt: sentAt };
  }

  /** Records that another VM holds the duty. */
  recordLost(): void {
    this.#held = undefined;
  }

  /** Returns the fencing number for orders; undefined if none may be given. */
  readFence(now: MonotonicTime): number | undefined {
    if (this.#held === undefined) return undefined;
    const until = this.#held.renewedAt + DUTY_LEASE - HOLDER_MARGIN;
    return now < until ? this.#held.fence : undefined;
  }

  /** Returns whether targets that ignore fencing numbers may get orders now. */
  isUnfencedAllowed(now: MonotonicTime): boolean {
    return this.readFence(now) !== undefined &&
      now >= this.#held!.unfencedFrom;
  }

  /** Returns the renewal to write, if this VM holds the duty and one is due. */
  findDueRenewal(
    now: MonotonicTime,
  ): { readonly fence: number; readonly renewals: number } | undefined {
    const held = this.#held;
    if (held === undefined) return undefined;
    if (now - held.renewedAt < DUTY_RENEWAL) return undefined;
    return { fence: held.fence, renewals: held.renewals + 1 };
  }
}
