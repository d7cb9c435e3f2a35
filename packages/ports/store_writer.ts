/**
 * Group commit: executes row operations, many in one transaction.
 *
 * One transaction is in progress at a time. Operations that arrive meanwhile
 * are queued and committed together in the next one, up to the store's row
 * limit. The writer evaluates each operation on the rows it read, commits with
 * the versions of these rows, and evaluates it again on fresh rows after a
 * conflict or a lost answer. It pauses between repeated conflicts. Operations
 * are idempotent, so no change takes effect twice. Every commit checks row
 * versions, so an abandoned write cannot overwrite a later one.
 */
import { setTimeout as sleepWithTimer } from "node:timers/promises";
import { LRUCache } from "lru-cache";
import { type Either, Left, Right } from "purify-ts";
import {
  type Bytes,
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

/** Maximum number of queued operations; more are refused as `not-done`. */
export const MAX_WAITING_OPERATIONS = 20_000;

/** Maximum number of cached rows, which were written or read in a conflict. */
const MAX_CACHED_ROWS = 20_000;

const INITIAL_BACKOFF: Millis = 20;
const MAX_BACKOFF: Millis = 2_000;

/**
 * Mean pause after the second conflict in a row of an operation. It doubles
 * with each further conflict, up to the maximum, which leaves a request that
 * waits for tokens several attempts.
 */
const INITIAL_CONFLICT_PAUSE: Millis = 5;
const MAX_CONFLICT_PAUSE: Millis = 160;

/**
 * Pause after a conflict from which the rows are read again. After a shorter
 * one, the rows of the last answer are probably still the newest.
 */
const MIN_PAUSE_TO_READ: Millis = 40;

/** Dependencies and timing of a store writer. */
export interface StoreWriterOptions {
  readonly table: RowPort;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Waits for a duration; tests replace the default, a real timer. */
  readonly sleep?: (duration: Millis) => Promise<void>;
  /** Time to collect operations before each transaction, in milliseconds. */
  readonly groupDelay: Millis;
  /** Maximum backoff after repeated failures; 2 s if absent. */
  readonly maxBackoff?: Millis;
  /**
   * Maximum number of rows that are kept between transactions; memory for as
   * many is reserved at once. 20,000 if absent.
   */
  readonly maxCachedRows?: number;
}

/** Counters since the start, and the current queue length. */
export interface StoreWriterCounts {
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly conflicts: number;
  /** Transactions whose answer was lost, so they may have committed. */
  readonly lostAnswers: number;
  /** Groups put back into the queue because a call failed. */
  readonly refusals: number;
  readonly waiting: number;
}

/** What it took to complete an operation. */
export interface OperationFacts {
  /** Transactions that wrote nothing, since a row had changed meanwhile. */
  readonly conflicts: number;
  /** Calls that failed: refused by the store, or without an answer. */
  readonly failures: number;
  /** Why the last of these calls failed. */
  readonly failureReason?: string;
  /** Size of the operation's rows as JSON, as they are after it. */
  readonly rowBytes: Bytes;
}

/** Deadline of an operation, and the listener of what it took. */
export interface RunOptions {
  readonly giveUpAt: MonotonicTime;
  /**
   * Called before the operation's result is returned, unless it fails, with the
   * rows as they are after its transaction.
   */
  readonly onCompleted?: (facts: OperationFacts, rows: RowView) => void;
}

/** A queued operation, its deadline and the callback for its result. */
interface Job extends RunOptions {
  readonly operation: RowOperation<unknown>;
  conflicts: number;
  failures: number;
  failureReason?: string;
  /** True once a commit was sent and its answer lost: it may have committed. */
  uncertain: boolean;
  finish(result: Either<PlatformError, unknown>): void;
}

/** Rows that a group writes, and the result of each of its operations. */
interface GroupDecision {
  readonly writes: ReadonlyMap<string, RowWrite>;
  /** The rows as they are after the writes. */
  readonly rows: RowView;
  readonly results: ReadonlyMap<Job, unknown>;
}

/** Commits queued row operations in groups, one transaction at a time. */
export class StoreWriter {
  readonly #options: StoreWriterOptions;
  readonly #sleep: (duration: Millis) => Promise<void>;
  readonly #cache: LRUCache<string, Row>;
  /**
   * Rows with a conflict since this writer's last commit. Others write them,
   * so that a cached row would probably cause the next conflict.
   */
  readonly #contended: LRUCache<string, true>;
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
    const max = options.maxCachedRows ?? MAX_CACHED_ROWS;
    this.#cache = new LRUCache({ max });
    this.#contended = new LRUCache({ max });
    this.#sleep = options.sleep ?? sleepWithTimer;
  }

  /** Returns the counters and the number of queued operations. */
  readCounts(): StoreWriterCounts {
    return { ...this.#counts, waiting: this.#waiting.length };
  }

  /** Returns the error of the last group, or undefined if it succeeded. */
  readLastError(): PlatformError | undefined {
    return this.#lastError;
  }

  /**
   * Queues an operation and resolves with its result. If it has not completed
   * by `giveUpAt`, it is abandoned with the error `answer-lost` if it may have
   * taken effect, and `not-done` otherwise.
   */
  run<Result>(
    operation: RowOperation<Result>,
    options: RunOptions,
  ): Promise<Either<PlatformError, Result>> {
    const refusalReason = this.#findRefusalReason();
    if (refusalReason !== undefined) {
      const error = createPlatformError(
        PlatformErrorKind.NotDone,
        refusalReason,
      );
      return Promise.resolve(Left(error));
    }
    return new Promise((resolve) => {
      this.#waiting.push({
        ...options,
        operation,
        conflicts: 0,
        failures: 0,
        uncertain: false,
        finish: (result) => resolve(result as Either<PlatformError, Result>),
      });
      this.#startLoop();
    });
  }

  /** Abandons all queued operations and refuses new ones. */
  close(): void {
    this.#closed = true;
    for (const job of this.#waiting.splice(0)) {
      job.finish(Left(createAbandonedError(job)));
    }
  }

  #findRefusalReason(): string | undefined {
    if (this.#closed) return "the store writer is closed";
    return this.#waiting.length >= MAX_WAITING_OPERATIONS
      ? "too many store operations are queued"
      : undefined;
  }

  #startLoop(): void {
    if (this.#running) return;
    this.#running = true;
    void this.#runGroups();
  }

  async #runGroups(): Promise<void> {
    let backoff = INITIAL_BACKOFF;
    while (this.#waiting.length > 0) {
      await this.#sleep(this.#options.groupDelay);
      this.#abandonExpired();
      const group = this.#takeGroup();
      if (group.length === 0) continue;
      const { conflicts } = this.#counts;
      const error = await this.#commitGroup(group);
      this.#lastError = error;
      if (error === undefined) {
        backoff = INITIAL_BACKOFF;
        if (this.#counts.conflicts > conflicts) {
          await this.#pauseAfterConflict(group);
        }
        continue;
      }
      await this.#sleep(this.#addJitter(backoff));
      const maxBackoff = this.#options.maxBackoff ?? MAX_BACKOFF;
      backoff = Math.min(maxBackoff, backoff * 2);
    }
    this.#running = false;
  }

  /**
   * Pauses if a group has lost several conflicts in a row, so that writers of
   * one row don't fill the link and the row's write rate with attempts that
   * fail. The first retry is made at once, with the row of the answer.
   */
  async #pauseAfterConflict(group: readonly Job[]): Promise<void> {
    const conflicts = Math.max(...group.map((job) => job.conflicts));
    if (conflicts < 2) return;
    const pause = this.#addJitter(Math.min(
      MAX_CONFLICT_PAUSE,
      INITIAL_CONFLICT_PAUSE * 2 ** (conflicts - 2),
    ));
    await this.#sleep(pause);
    if (pause < MIN_PAUSE_TO_READ) return;
    for (const key of group.flatMap((job) => job.operation.keys)) {
      this.#cache.delete(key);
    }
  }

  /** Adds jitter, so that writers do not all retry at once after an outage. */
  #addJitter(backoff: Millis): Millis {
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

  /** Commits a group; returns an error if the writer should back off. */
  async #commitGroup(group: Job[]): Promise<PlatformError | undefined> {
    const keys = [...new Set(group.flatMap((job) => job.operation.keys))];
    const read = await this.#readRows(keys, group);
    if (read.isLeft()) return this.#requeue(group, read.extract());
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
      return this.#requeue(group, error);
    }
    const outcome = answer.unsafeCoerce();
    if (!outcome.committed) {
      this.#counts.conflicts++;
      for (const job of group) job.conflicts++;
      for (const key of outcome.conflicts) this.#contended.set(key, true);
      for (const check of checks) this.#cache.delete(check.key);
      for (const row of outcome.rows ?? []) this.#cache.set(row.key, row);
      this.#waiting.unshift(...group);
      return undefined;
    }
    this.#counts.transactions++;
    this.#counts.rowsWritten += writes.length;
    const { version } = outcome;
    this.#cacheWrites(writes, { checks, version });
    finishGroup(
      version === undefined
        ? decision
        : { ...decision, rows: setVersion(decision, version) },
    );
    return undefined;
  }

  /** Reads rows; cached rows are used only if every operation will write. */
  async #readRows(
    keys: readonly string[],
    group: readonly Job[],
  ): Promise<Either<PlatformError, RowView>> {
    const cached = new Map<string, Row>();
    for (const key of keys) {
      const row = this.#cache.get(key);
      if (row !== undefined) cached.set(key, row);
    }
    if (cached.size === keys.length && doesEveryOperationWrite(group, cached)) {
      return Right(cached);
    }
    const answer = await this.#options.table.read(keys);
    return answer.map((rows) => new Map(rows.map((row) => [row.key, row])));
  }

  #cacheWrites(
    writes: readonly RowWrite[],
    input: {
      readonly checks: readonly RowCheck[];
      /** Absent if the store increments a row's version by one per write. */
      readonly version: number | undefined;
    },
  ): void {
    const versions = new Map(
      input.checks.map((each) => [each.key, each.version]),
    );
    for (const { key, value } of writes) {
      const version = input.version ?? (versions.get(key) ?? 0) + 1;
      const isContended = this.#contended.delete(key);
      if (value === undefined || isContended) this.#cache.delete(key);
      else this.#cache.set(key, { key, version, value });
    }
  }

  #requeue(
    group: Job[],
    error: PlatformError | unknown,
  ): PlatformError {
    this.#counts.refusals++;
    for (const job of group) {
      job.failures++;
      job.failureReason = (error as PlatformError).message;
    }
    this.#waiting.unshift(...group);
    if (this.#closed) this.close();
    this.#abandonExpired();
    return error as PlatformError;
  }

  #abandonExpired(): void {
    const now = this.#options.clock.readMonotonic();
    const expired = this.#waiting.filter((job) => now >= job.giveUpAt);
    if (expired.length === 0) return;
    this.#waiting = this.#waiting.filter((job) => now < job.giveUpAt);
    for (const job of expired) job.finish(Left(createAbandonedError(job)));
  }
}

function createAbandonedError(job: Job): PlatformError {
  const kind = job.uncertain
    ? PlatformErrorKind.AnswerLost
    : PlatformErrorKind.NotDone;
  return createPlatformError(kind, `${job.operation.id} was abandoned`);
}

/** Evaluates operations in order, each on the rows left by those before it. */
function decideGroup(group: readonly Job[], rows: RowView): GroupDecision {
  const current = new Map(rows);
  const writes = new Map<string, RowWrite>();
  const results = new Map<Job, unknown>();
  for (const job of group) {
    try {
      const decision = job.operation.decide(current);
      for (const write of decision.writes) {
        writes.set(write.key, write);
        applyWrite(current, write);
      }
      results.set(job, decision.result);
    } catch (error) {
      // An invalid row must not fail the other operations of the group.
      job.finish(Left(createPlatformError(
        PlatformErrorKind.BadAnswer,
        error instanceof Error ? error.message : String(error),
      )));
    }
  }
  return { writes, rows: current, results };
}

function applyWrite(rows: Map<string, Row>, write: RowWrite): void {
  const version = (rows.get(write.key)?.version ?? 0) + 1;
  if (write.value === undefined) rows.delete(write.key);
  else rows.set(write.key, { key: write.key, version, value: write.value });
}

/**
 * Returns whether every operation would write. A commit checks row versions, so
 * stale cached rows then cause a conflict and never a wrong result.
 */
function doesEveryOperationWrite(
  group: readonly Job[],
  rows: RowView,
): boolean {
  const current = new Map(rows);
  return group.every((job) => {
    try {
      const { writes } = job.operation.decide(current);
      for (const write of writes) applyWrite(current, write);
      return writes.length > 0;
    } catch {
      return false;
    }
  });
}

/** Returns the rows of a group with the version that its writes got. */
function setVersion(
  { rows, writes }: GroupDecision,
  version: number,
): RowView {
  const written = [...rows.values()].filter(({ key }) => writes.has(key))
    .map((row) => [row.key, { ...row, version }] as const);
  return new Map([...rows, ...written]);
}

function finishGroup(decision: GroupDecision): void {
  for (const [job, result] of decision.results) {
    job.onCompleted?.({
      conflicts: job.conflicts,
      failures: job.failures,
      ...(job.failureReason === undefined
        ? {}
        : { failureReason: job.failureReason }),
      rowBytes: measureRows(job.operation.keys, decision.rows),
    }, decision.rows);
    job.finish(Right(result));
  }
}

function measureRows(keys: readonly string[], rows: RowView): Bytes {
  const present = keys.map((key) => rows.get(key)?.value)
    .filter((value) => value !== undefined);
  return present.reduce<Bytes>(
    (sum, value) => sum + Buffer.byteLength(JSON.stringify(value)),
    0,
  );
}
