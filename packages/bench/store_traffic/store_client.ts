/**
 * Two ways to write grants, claims and bills to the store: the current one,
 * with rows of their own, and a proposed one, with logs.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  type Millis,
  type MonotonicTime,
  type PlatformError,
  PlatformErrorKind,
  type Row,
  type RowOperation,
} from "../../core/mod.ts";
import { createPlatformError, type StoreWriter } from "../../ports/mod.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";

/** Writes the operations and bills of one VM. */
export interface StoreClient {
  /** Runs an operation on rows; returns an error if it does not end in time. */
  run<Result>(
    operation: RowOperation<Result>,
    options: { readonly giveUpAt: MonotonicTime },
  ): Promise<Either<PlatformError, Result>>;
  /** Queues the bill of a request to be written. */
  addBill(requestKey: string): void;
}

/**
 * The current way: each operation writes its own rows, and each VM writes
 * batches of its own bills.
 */
export class RowStoreClient implements StoreClient {
  readonly #writer: StoreWriter;
  readonly #bills: BatchWriter;

  constructor(writer: StoreWriter, bills: BatchWriter) {
    this.#writer = writer;
    this.#bills = bills;
  }

  run<Result>(
    operation: RowOperation<Result>,
    options: { readonly giveUpAt: MonotonicTime },
  ): Promise<Either<PlatformError, Result>> {
    return this.#writer.run(operation, options);
  }

  addBill(requestKey: string): void {
    this.#bills.add(requestKey);
  }
}

/** The error for an owner that did not answer in time. */
const OWNER_TIMEOUT = createPlatformError(
  PlatformErrorKind.AnswerLost,
  "no answer",
);

/** Finds the owner of a key's log and the one-way network delay to it. */
export type FindLogOwner = (
  key: string,
) => { readonly owner: LogOwner; readonly delay: Millis };

/**
 * The proposed way: operations are sent to the owner of the key's log, which
 * decides them on its rows in memory and answers when their log row is durable.
 */
export class LogStoreClient implements StoreClient {
  readonly #clock: VirtualClock;
  readonly #findOwner: FindLogOwner;

  constructor(clock: VirtualClock, findOwner: FindLogOwner) {
    this.#clock = clock;
    this.#findOwner = findOwner;
  }

  run<Result>(
    operation: RowOperation<Result>,
    options: { readonly giveUpAt: MonotonicTime },
  ): Promise<Either<PlatformError, Result>> {
    const wait = options.giveUpAt - this.#clock.readMonotonic();
    return new Promise((resolve) => {
      void this.#runAtOwner(operation).then((result) => resolve(Right(result)));
      if (wait === Infinity) return;
      this.#clock.schedule(wait, () => resolve(Left(OWNER_TIMEOUT)));
    });
  }

  addBill(requestKey: string): void {
    const { owner, delay } = this.#findOwner(requestKey);
    this.#clock.schedule(delay, () => owner.addBill(requestKey));
  }

  async #runAtOwner<Result>(operation: RowOperation<Result>): Promise<Result> {
    const { owner, delay } = this.#findOwner(operation.keys[0] ?? "");
    await this.#clock.wait(delay);
    const result = await owner.run(operation);
    await this.#clock.wait(delay);
    return result;
  }
}

/**
 * Owns one log: keeps its rows in memory and appends changes to the log. This
 * simulates only the traffic; docs/CAPACITY.md describes how an owner is fenced
 * and how its successor reads the log.
 */
export class LogOwner {
  readonly #rows = new Map<string, Row>();
  readonly #log: BatchWriter;

  constructor(log: BatchWriter) {
    this.#log = log;
  }

  /** Decides an operation and resolves when its log row is durable. */
  run<Result>(operation: RowOperation<Result>): Promise<Result> {
    const { writes, result } = operation.decide(this.#rows);
    if (writes.length === 0) return Promise.resolve(result);
    for (const { key, value } of writes) {
      const version = (this.#rows.get(key)?.version ?? 0) + 1;
      if (value === undefined) this.#rows.delete(key);
      else this.#rows.set(key, { key, version, value });
    }
    return new Promise((resolve) =>
      this.#log.add(operation.id, () => resolve(result))
    );
  }

  addBill(requestKey: string): void {
    this.#log.add(requestKey);
  }
}

/** One entry of a batch, and what to call once it is durable. */
interface BatchEntry {
  readonly id: string;
  readonly confirm: (() => void) | undefined;
}

/** Options of a batch writer. */
export interface BatchWriterOptions {
  readonly vm: string;
  readonly clock: VirtualClock;
  readonly writer: StoreWriter;
  /** Time between the starts of two batches. */
  readonly interval: Millis;
  /** Maximum number of rows being written at once; unlimited if absent. */
  readonly maxInFlight?: number;
}

/** Number of entries of about 150 bytes that fit into a row of 64 KiB. */
const MAX_ENTRIES_PER_ROW = 400;

/** Collects entries and writes one row with many of them per interval. */
export class BatchWriter {
  readonly #prefix: string;
  readonly #options: BatchWriterOptions;
  #waiting: BatchEntry[] = [];
  #number = 0;
  #inFlight = 0;

  constructor(prefix: string, options: BatchWriterOptions) {
    this.#prefix = prefix;
    this.#options = options;
    const { clock, interval, maxInFlight = Infinity } = options;
    clock.scheduleEvery(interval, () => {
      if (this.#inFlight < maxInFlight) void this.#writeBatch();
    });
  }

  /** Adds an entry; `confirm` is called once it is durable. */
  add(id: string, confirm?: () => void): void {
    this.#waiting.push({ id, confirm });
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#waiting.splice(0, MAX_ENTRIES_PER_ROW);
    if (batch.length === 0) return;
    this.#inFlight++;
    const { vm, writer } = this.#options;
    const number = String(++this.#number).padStart(10, "0");
    const key = `${this.#prefix}/${vm}/${number}`;
    const operation = createRow(key, batch.map((each) => each.id));
    const answer = await writer.run(operation, { giveUpAt: Infinity });
    this.#inFlight--;
    if (answer.isLeft()) this.#waiting.unshift(...batch);
    else for (const each of batch) each.confirm?.();
  }
}

function createRow(
  key: string,
  entries: readonly string[],
): RowOperation<void> {
  return {
    id: key,
    keys: [key],
    decide(rows) {
      if (rows.has(key)) return { writes: [], result: undefined };
      return { writes: [{ key, value: { entries } }], result: undefined };
    },
  };
}
