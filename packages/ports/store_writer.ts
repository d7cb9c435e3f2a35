/**
 * Carries out row operations, many in one transaction.
 *
 * One transaction is under way at a time. Operations that arrive meanwhile wait
 * and go together in the next one, up to the table's limit of rows. The writer
 * decides each operation from the rows it read, commits with the versions it
 * read, and decides again from fresh rows after a conflict or a lost answer.
 * Since operations are idempotent, no change takes effect twice, and since
 * every commit names versions, a write that was given up on cannot overwrite a
 * later one.
 */
import { setTimeout as sleepReally } from "node:timers/promises";
import { LRUCache } from "lru-cache";
import { type Either, Left, Right } from "purify-ts";
import {
  type Clock,
  type Millis,
  type MonotonicTime,
  type PlatformError,
  PlatformErrorKind,
  type RandomSource,
  type Row,
  type RowOperation,
  type RowView,
  type RowWrite,
} from "../core/mod.ts";
import { createPlatformError } from "./http_platform.ts";
import {
  MAX_TRANSACTION_ROWS,
  type RowCheck,
  type RowPort,
} from "./table_port.ts";

/** Most operations that wait; beyond it they are refused as not done. */
export const MAX_WAITING_OPERATIONS = 20_000;

/** Rows of the writer's own last writes that it keeps. */
const MAX_CACHED_ROWS = 20_000;

const FIRST_BACKOFF: Millis = 20;
const LONGEST_BACKOFF: Millis = 2_000;

/** What the writer needs from outside. */
export interface StoreWriterOptions {
  readonly table: RowPort;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Waits for a duration, virtual in tests; real timers if absent. */
  readonly sleep?: (duration: Millis) => Promise<void>;
  /** How long a group waits for company, in milliseconds. */
  readonly groupDelay: Millis;
  /** Longest pause after a failure; 2 s if absent. */
  readonly maxBackoff?: Millis;
}

/** Counts since the start. */
export interface StoreWriterCounts {
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly conflicts: number;
  readonly lostAnswers: number;
  readonly refusals: number;
  readonly waiting: number;
}

interface Job {
  readonly operation: RowOperation<unknown>;
  readonly giveUpAt: MonotonicTime;
  /** True once a commit of it was sent whose answer is not known. */
  uncertain: boolean;
  finish(result: Either<PlatformError, unknown>): void;
}

interface GroupDecision {
  readonly writes: ReadonlyMap<string, RowWrite>;
  readonly results: ReadonlyMap<Job, unknown>;
}

/** Groups row operations into transactions. */
export class StoreWriter {
  readonly #options: StoreWriterOptions;
  readonly #sleep: (duration: Millis) => Promise<void>;
  readonly #cache = new LRUCache<string, Row>({ max: MAX_CACHED_ROWS });
  #waiting: Job[] = [];
  #running = false;
  #closed = false;
  #lastError: PlatformError | undefined;
  #counts = {
    transactions: 0,
    rowsWritten: 0,
    conflicts: 0,
    lostAnswers: 0,
    refusals: 0,
  };

  constructor(options: StoreWriterOptions) {
    this.#options = options;
    this.#sleep = options.sleep ?? sleepReally;
  }

  /** Returns counts since the start and the number of waiting operations. */
  readCounts(): StoreWriterCounts {
    return { ...this.#counts, waiting: this.#waiting.length };
  }

  /** Returns the error of the last call, or undefined when it went well. */
  readLastError(): PlatformError | undefined {
    return this.#lastError;
  }

  /**
   * Carries out an operation. It is given up on at `giveUpAt`; the error then
   * says `answer-lost` when it may have taken effect and `not-done` otherwise.
   */
  run<Result>(
    operation: RowOperation<Result>,
    options: { readonly giveUpAt: MonotonicTime },
  ): Promise<Either<PlatformError, Result>> {
    const obstacle = this.#findObstacle();
    if (obstacle !== undefined) {
      const error = createPlatformError(PlatformErrorKind.NotDone, obstacle);
      return Promise.resolve(Left(error));
    }
    return new Promise((resolve) => {
      this.#waiting.push({
        operation,
        giveUpAt: options.giveUpAt,
        uncertain: false,
        finish: (result) => resolve(result as Either<PlatformError, Result>),
      });
      this.#start();
    });
  }

  /** Gives up on everything that waits and refuses what comes after. */
  close(): void {
    this.#closed = true;
    for (const job of this.#waiting.splice(0)) {
      job.finish(Left(createGiveUp(job)));
    }
  }

  #findObstacle(): string | undefined {
    if (this.#closed) return "the store writer is closed";
    return this.#waiting.length >= MAX_WAITING_OPERATIONS
      ? "too many store operations wait"
      : undefined;
  }

  #start(): void {
    if (this.#running) return;
    this.#running = true;
    void this.#runGroups();
  }

  async #runGroups(): Promise<void> {
    let backoff = FIRST_BACKOFF;
    while (this.#waiting.length > 0) {
      await this.#sleep(this.#options.groupDelay);
      this.#dropLate();
      const group = this.#takeGroup();
      if (group.length === 0) continue;
      const error = await this.#commitGroup(group);
      this.#lastError = error;
      if (error === undefined) {
        backoff = FIRST_BACKOFF;
        continue;
      }
      await this.#sleep(this.#computePause(backoff));
      const longest = this.#options.maxBackoff ?? LONGEST_BACKOFF;
      backoff = Math.min(longest, backoff * 2);
    }
    this.#running = false;
  }

  /** Full jitter, so that writers do not return together after an outage. */
  #computePause(backoff: Millis): Millis {
    return backoff / 2 + this.#options.random() * backoff;
  }

  #takeGroup(): Job[] {
    const keys = new Set<string>();
    let count = 0;
    for (const job of this.#waiting) {
      const added = job.operation.keys.filter((key) => !keys.has(key));
      if (keys.size + added.length > MAX_TRANSACTION_ROWS) break;
      for (const key of added) keys.add(key);
      count++;
    }
    return this.#waiting.splice(0, count);
  }

  /** Returns the error that should slow the writer down, if any. */
  async #commitGroup(group: Job[]): Promise<PlatformError | undefined> {
    const keys = [...new Set(group.flatMap((job) => job.operation.keys))];
    const read = await this.#readRows(keys, group);
    if (read.isLeft()) return this.#putBack(group, read.extract());
    const rows = read.unsafeCoerce();
    const decision = decideGroup(group, rows);
    if (decision.writes.size === 0) {
      finishGroup(decision);
      return undefined;
    }
    const checks = keys.map((key) => ({
      key,
      version: rows.get(key)?.version ?? 0,
    }));
    return await this.#transact(group, { decision, checks });
  }

  async #transact(
    group: Job[],
    input: {
      readonly decision: GroupDecision;
      readonly checks: readonly RowCheck[];
    },
  ): Promise<PlatformError | undefined> {
    const { decision, checks } = input;
    const writes = [...decision.writes.values()];
    const answer = await this.#options.table.transact({ checks, writes });
    if (answer.isLeft()) {
      for (const check of checks) this.#cache.delete(check.key);
      const error = answer.extract() as PlatformError;
      if (error.kind === PlatformErrorKind.AnswerLost) {
        this.#counts.lostAnswers++;
        for (const job of group) job.uncertain = true;
      }
      return this.#putBack(group, error);
    }
    const outcome = answer.unsafeCoerce();
    if (!outcome.committed) {
      this.#counts.conflicts++;
      for (const check of checks) this.#cache.delete(check.key);
      for (const row of outcome.rows ?? []) this.#cache.set(row.key, row);
      this.#waiting.unshift(...group);
      return undefined;
    }
    this.#counts.transactions++;
    this.#counts.rowsWritten += writes.length;
    this.#remember(writes, { checks, version: outcome.version });
    finishGroup(decision);
    return undefined;
  }

  /** Reads rows, from the cache where every decision is sure to write. */
  async #readRows(
    keys: readonly string[],
    group: readonly Job[],
  ): Promise<Either<PlatformError, RowView>> {
    const cached = new Map<string, Row>();
    for (const key of keys) {
      const row = this.#cache.get(key);
      if (row !== undefined) cached.set(key, row);
    }
    if (cached.size === keys.length && isSureToWrite(group, cached)) {
      return Right(cached);
    }
    const answer = await this.#options.table.read(keys);
    return answer.map((rows) => new Map(rows.map((row) => [row.key, row])));
  }

  #remember(
    writes: readonly RowWrite[],
    input: {
      readonly checks: readonly RowCheck[];
      /** Absent where versions rise by one with each write of a row. */
      readonly version: number | undefined;
    },
  ): void {
    const versions = new Map(
      input.checks.map((each) => [each.key, each.version]),
    );
    for (const { key, value } of writes) {
      const version = input.version ?? (versions.get(key) ?? 0) + 1;
      if (value === undefined) this.#cache.delete(key);
      else this.#cache.set(key, { key, version, value });
    }
  }

  #putBack(
    group: Job[],
    error: PlatformError | unknown,
  ): PlatformError {
    this.#counts.refusals++;
    this.#waiting.unshift(...group);
    if (this.#closed) this.close();
    this.#dropLate();
    return error as PlatformError;
  }

  #dropLate(): void {
    const now = this.#options.clock.readMonotonic();
    const late = this.#waiting.filter((job) => now >= job.giveUpAt);
    if (late.length === 0) return;
    this.#waiting = this.#waiting.filter((job) => now < job.giveUpAt);
    for (const job of late) job.finish(Left(createGiveUp(job)));
  }
}

function createGiveUp(job: Job): PlatformError {
  const kind = job.uncertain
    ? PlatformErrorKind.AnswerLost
    : PlatformErrorKind.NotDone;
  return createPlatformError(kind, `${job.operation.id} was given up on`);
}

/** Decides every operation of a group in order, each on the rows before it. */
function decideGroup(group: readonly Job[], rows: RowView): GroupDecision {
  const current = new Map(rows);
  const writes = new Map<string, RowWrite>();
  const results = new Map<Job, unknown>();
  for (const job of group) {
    try {
      const decision = job.operation.decide(current);
      for (const write of decision.writes) {
        writes.set(write.key, write);
        overlayWrite(current, write);
      }
      results.set(job, decision.result);
    } catch (error) {
      // A damaged row must not hold up the operations beside it.
      job.finish(Left(createPlatformError(
        PlatformErrorKind.BadAnswer,
        error instanceof Error ? error.message : String(error),
      )));
    }
  }
  return { writes, results };
}

function overlayWrite(rows: Map<string, Row>, write: RowWrite): void {
  const version = (rows.get(write.key)?.version ?? 0) + 1;
  if (write.value === undefined) rows.delete(write.key);
  else rows.set(write.key, { key: write.key, version, value: write.value });
}

/** Says whether each operation writes, so that a stale row cannot mislead it. */
function isSureToWrite(group: readonly Job[], rows: RowView): boolean {
  const current = new Map(rows);
  return group.every((job) => {
    try {
      const { writes } = job.operation.decide(current);
      for (const write of writes) overlayWrite(current, write);
      return writes.length > 0;
    } catch {
      return false;
    }
  });
}

function finishGroup(decision: GroupDecision): void {
  for (const [job, result] of decision.results) job.finish(Right(result));
}
