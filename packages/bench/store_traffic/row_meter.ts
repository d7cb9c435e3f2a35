/** Counts the rows that VMs read and write in the store. */
import type { Either } from "purify-ts";
import {
  type Millis,
  MILLIS_PER_SECOND,
  type PlatformError,
  PlatformErrorKind,
} from "../../core/mod.ts";
import type { TablePort } from "../../ports/mod.ts";
import type { TimedTable } from "../harness/timed_table.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";

/** Rows and calls in one second of virtual time. */
export interface SecondCounts {
  /** Rows written by committed transactions. */
  written: number;
  /** Rows requested by key; scans are not included. */
  read: number;
  /** Calls that the store rejected because its rate limits were exceeded. */
  throttled: number;
  /** All calls, whatever their result. */
  calls: number;
}

/**
 * Forwards calls to the store and counts rows and calls by second of virtual
 * time, and rows written by key prefix.
 */
export class RowMeter implements TablePort {
  readonly #table: TimedTable;
  readonly #clock: VirtualClock;
  readonly #seconds: SecondCounts[] = [];
  readonly #writtenByPrefix = new Map<string, number>();
  #countPrefixesFrom: Millis = 0;

  constructor(table: TimedTable, clock: VirtualClock) {
    this.#table = table;
    this.#clock = clock;
  }

  readonly read: TablePort["read"] = async (keys) => {
    this.#readSecond().read += keys.length;
    return this.#record(await this.#table.read(keys));
  };

  readonly scan: TablePort["scan"] = async (prefix, options) =>
    this.#record(await this.#table.scan(prefix, options));

  readonly transact: TablePort["transact"] = async (transaction) => {
    const answer = this.#record(await this.#table.transact(transaction));
    const committed = answer.map((each) => each.committed).orDefault(false);
    if (!committed) return answer;
    this.#readSecond().written += transaction.writes.length;
    if (this.#clock.readMonotonic() >= this.#countPrefixesFrom) {
      for (const { key } of transaction.writes) this.#countPrefix(key);
    }
    return answer;
  };

  /** Resets the counts by prefix and starts them from now. */
  startPrefixCounts(): void {
    this.#countPrefixesFrom = this.#clock.readMonotonic();
    this.#writtenByPrefix.clear();
  }

  /**
   * Returns the number of rows written with a key prefix since the last reset.
   */
  readWritten(prefix: string): number {
    return this.#writtenByPrefix.get(prefix) ?? 0;
  }

  /** Returns the counts of the seconds from `start` up to `end`. */
  listSeconds(start: Millis, end: Millis): SecondCounts[] {
    const seconds: SecondCounts[] = [];
    for (let at = start; at < end; at += MILLIS_PER_SECOND) {
      seconds.push(this.#findSecond(at));
    }
    return seconds;
  }

  #countPrefix(key: string): void {
    const prefix = key.slice(0, key.indexOf("/"));
    this.#writtenByPrefix.set(prefix, this.readWritten(prefix) + 1);
  }

  #record<Answer>(
    answer: Either<PlatformError, Answer>,
  ): Either<PlatformError, Answer> {
    const second = this.#readSecond();
    second.calls++;
    answer.ifLeft((error) => {
      if (error.kind === PlatformErrorKind.Throttled) second.throttled++;
    });
    return answer;
  }

  #readSecond(): SecondCounts {
    return this.#findSecond(this.#clock.readMonotonic());
  }

  #findSecond(at: Millis): SecondCounts {
    const index = Math.floor(at / MILLIS_PER_SECOND);
    return this.#seconds[index] ??= {
      written: 0,
      read: 0,
      throttled: 0,
      calls: 0,
    };
  }
}
