/**
 * Limits how many calls to one server are in progress at once while the server
 * is too slow for them. A call that exceeds its time limit is repeated, and the
 * server may still work on the first one. Without this limit it can spend all
 * its time on calls that were given up, even after it is fast enough again.
 */

/** Limit at the start, so that many first calls don't overload a slow server. */
const INITIAL_LIMIT = 16;

/** Limit after a call has exceeded its time. */
const MIN_LIMIT = 1;

/** Identifies the period between two reductions in which a call started. */
export type LimitPeriod = number;

/**
 * The calls in progress, and those that wait for their turn. The limit grows with
 * each answer and falls when a call exceeds its time. Groups of waiting calls
 * take turns, so that many calls of one group don't delay the others.
 */
export class ConcurrencyLimit {
  #limit = INITIAL_LIMIT;
  /** Number of calls in progress that started in the current period. */
  #running = 0;
  #period: LimitPeriod = 0;
  /** Waiting calls by group; the group whose turn is next comes first. */
  readonly #waiting = new Map<
    string,
    ((period: LimitPeriod | undefined) => void)[]
  >();
  #isClosed = false;

  /**
   * Resolves when a call of a group may start. Its end has to be recorded with
   * the period that this returns. Resolves to undefined if the call must not
   * start any more.
   */
  waitTurn(group: string): Promise<LimitPeriod | undefined> {
    if (this.#isClosed) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const calls = this.#waiting.get(group) ?? [];
      this.#waiting.set(group, calls);
      calls.push(resolve);
      this.#startWaiting();
    });
  }

  /** Abandons the calls that wait, and lets no other start. */
  close(): void {
    this.#isClosed = true;
    for (const start of [...this.#waiting.values()].flat()) start(undefined);
    this.#waiting.clear();
  }

  /**
   * Records that a call was answered. Quick answers raise the limit by one each,
   * and slow ones by one for as many calls as may be in progress.
   */
  recordAnswer(
    period: LimitPeriod,
    answer: { readonly isQuick: boolean },
  ): void {
    this.#limit += answer.isQuick ? 1 : 1 / this.#limit;
    this.recordFailure(period);
  }

  /** Records that a call failed and that this says nothing about the server. */
  recordFailure(period: LimitPeriod): void {
    if (period === this.#period) this.#running--;
    this.#startWaiting();
  }

  /**
   * Records that the server did not answer a call in time. Calls that started
   * in an earlier period don't lower the limit again. They are not counted as
   * running either, since they end within their own time limits.
   */
  recordExceeded(period: LimitPeriod): void {
    if (period !== this.#period) return;
    this.#period++;
    this.#limit = MIN_LIMIT;
    this.#running = 0;
    this.#startWaiting();
  }

  #startWaiting(): void {
    for (const [group, calls] of this.#waiting) {
      if (this.#running + 1 > this.#limit) return;
      this.#running++;
      calls.shift()!(this.#period);
      this.#waiting.delete(group);
      if (calls.length > 0) this.#waiting.set(group, calls);
    }
  }
}
