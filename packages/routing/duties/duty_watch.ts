/**
 * One VM's view of a duty's lease, on its own monotonic clock.
 *
 * A waiting VM calls a lease lapsed when the row has shown the same renewal for
 * the whole lease length since it first saw it. The holder counts its lease
 * from before it sent the renewal and stops a margin early. The wall clock of
 * no VM takes part.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import type { DutyRow, SeenLease } from "./duty_row.ts";

/** Time without a renewal after which a duty may be taken. */
export const DUTY_LEASE: Millis = 15_000;

/** Interval at which the holder renews. */
export const DUTY_RENEWAL: Millis = 4_000;

/** Time before the end of its lease at which a holder gives no more orders. */
const HOLDER_MARGIN: Millis = 3_000;

interface Sighting extends SeenLease {
  readonly since: MonotonicTime;
}

interface Holding {
  readonly fence: number;
  readonly renewals: number;
  /** Reading from before the renewal was sent. */
  readonly renewedAt: MonotonicTime;
  /** Orders to targets that ignore fencing numbers wait until then. */
  readonly unfencedFrom: MonotonicTime;
}

/** Watches one duty, as its holder or waiting for it. */
export class DutyWatch {
  #sighting: Sighting | undefined;
  #holding: Holding | undefined;

  /** Records the row as read; undefined if no VM ever held the duty. */
  recordRow(row: DutyRow | undefined, now: MonotonicTime): void {
    if (row === undefined) return;
    const { fence, renewals } = row;
    const same = this.#sighting?.fence === fence &&
      this.#sighting.renewals === renewals;
    if (!same) this.#sighting = { fence, renewals, since: now };
    const lost = this.#holding !== undefined && this.#holding.fence !== fence;
    if (lost) this.#holding = undefined;
  }

  /** Returns the lease to name as lapsed when taking the duty, if it is. */
  findLapsed(now: MonotonicTime): SeenLease | undefined {
    const seen = this.#sighting;
    if (seen === undefined || now - seen.since < DUTY_LEASE) return undefined;
    return { fence: seen.fence, renewals: seen.renewals };
  }

  /**
   * Records that this VM took the duty. The old holder's last order may have
   * been sent up to now, and it takes effect within the longest order.
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
    this.#holding = {
      fence: taken.fence,
      renewals: taken.renewals,
      renewedAt: times.sentAt,
      unfencedFrom: first ? times.now : times.now + taken.previousLongestOrder,
    };
  }

  /** Records a renewal that took effect; the reading is from before it was sent. */
  recordRenewed(renewals: number, sentAt: MonotonicTime): void {
    if (this.#holding === undefined) return;
    this.#holding = { ...this.#holding, renewals, renewedAt: sentAt };
  }

  /** Records that another VM holds the duty. */
  recordLost(): void {
    this.#holding = undefined;
  }

  /** Returns the fencing number under which orders may be given now. */
  readFence(now: MonotonicTime): number | undefined {
    if (this.#holding === undefined) return undefined;
    const until = this.#holding.renewedAt + DUTY_LEASE - HOLDER_MARGIN;
    return now < until ? this.#holding.fence : undefined;
  }

  /** Returns whether orders may go to targets that ignore fencing numbers. */
  isUnfencedAllowed(now: MonotonicTime): boolean {
    return this.readFence(now) !== undefined &&
      now >= this.#holding!.unfencedFrom;
  }

  /** Returns the next renewal to write, if one is due. */
  findDueRenewal(
    now: MonotonicTime,
  ): { readonly fence: number; readonly renewals: number } | undefined {
    const holding = this.#holding;
    if (holding === undefined) return undefined;
    if (now - holding.renewedAt < DUTY_RENEWAL) return undefined;
    return { fence: holding.fence, renewals: holding.renewals + 1 };
  }
}
