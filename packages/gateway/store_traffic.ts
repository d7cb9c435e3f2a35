/** Sums the calls to the store by table and kind, for a periodic log line. */
import type { Bytes } from "../core/mod.ts";
import { type StoreCall, StoreCallOutcome } from "../ports/mod.ts";
import type { LogFields } from "../runtime/mod.ts";

/** The calls of one kind for one table. */
interface CallSums {
  calls: number;
  conflicts: number;
  /** Calls without an answer, and those that the store refused. */
  failures: number;
  bytes: Bytes;
}

/** Outcomes that count as failures of a call. */
const FAILURES: ReadonlySet<StoreCallOutcome> = new Set([
  StoreCallOutcome.Throttled,
  StoreCallOutcome.Refused,
  StoreCallOutcome.NoAnswer,
]);

/** The calls to the store since the sums were last taken. */
export class StoreTraffic {
  readonly #sums = new Map<string, CallSums>();

  /** Adds a call that has ended. */
  record(call: StoreCall): void {
    const key = `${call.table}_${call.kind}`;
    const sums = this.#sums.get(key) ??
      { calls: 0, conflicts: 0, failures: 0, bytes: 0 };
    this.#sums.set(key, sums);
    sums.calls++;
    if (call.outcome === StoreCallOutcome.Conflict) sums.conflicts++;
    if (FAILURES.has(call.outcome)) sums.failures++;
    sums.bytes += call.sentBytes + call.receivedBytes;
  }

  /**
   * Returns the sums as log fields and resets them: for each table and kind the
   * calls, conflicts, failures and bytes. Returns undefined if there are none.
   */
  take(): LogFields | undefined {
    if (this.#sums.size === 0) return undefined;
    const fields = [...this.#sums].map(([key, sums]) =>
      [
        key,
        `${sums.calls}/${sums.conflicts}/${sums.failures}/${sums.bytes}`,
      ] as const
    );
    this.#sums.clear();
    return Object.fromEntries(fields);
  }
}
