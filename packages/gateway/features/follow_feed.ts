/**
 * Follows one table of the platform: reads it whole, then change by change, and
 * starts over when the history is lost. What is known of a row never goes back
 * to an older version, whatever an answer says.
 */
import type { Millis, PlatformError, Undo } from "../../core/mod.ts";
import type { FeedPage, FeedPort, FeedRow } from "../../ports/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startOnDemand,
} from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";

/** One row that has changed; it has no value when it was removed. */
export interface RowChange<Value> {
  readonly key: string;
  readonly value?: Value;
}

/** What is followed and what becomes of it. */
export interface FeedOptions<Value> {
  /** Names the table in logs. */
  readonly name: string;
  readonly feed: FeedPort<Value>;
  /** Longest wait of one call; a silent connection is found after it. */
  readonly wait: Millis;
  /** Pause between two calls, so that frequent writes come together. */
  readonly pace: Millis;
  apply(changes: readonly RowChange<Value>[]): void;
}

const FIRST_BACKOFF: Millis = 100;
const LONGEST_BACKOFF: Millis = 300;

/** Follows a table until it is stopped. */
export class FeedFollower<Value> {
  readonly #context: GatewayContext;
  readonly #options: FeedOptions<Value>;
  /**
   * Version of each row that was applied. Rows that were removed need none: what
   * is older than the highest version seen is not taken.
   */
  readonly #versions = new Map<string, number>();
  #after: number | undefined;
  #highest = 0;
  #isLoaded = false;
  #failingSince: number | undefined;
  #lastFailure = -Infinity;
  #backoff = FIRST_BACKOFF;

  constructor(context: GatewayContext, options: FeedOptions<Value>) {
    this.#context = context;
    this.#options = options;
  }

  /** Whether the table was read whole at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** When the last call failed; -Infinity if none has. */
  get lastFailure(): number {
    return this.#lastFailure;
  }

  /** Starts following. */
  register(): Undo {
    const process = startOnDemand({
      computeWait: () => this.#computeWait(),
      run: async () => {
        await this.#takeTurn();
        return true;
      },
      reportError: createErrorReporter(
        this.#context.log,
        `follow ${this.#options.name}`,
      ),
    });
    process.wake();
    return process.stop;
  }

  #computeWait(): Millis {
    if (this.#failingSince !== undefined) return this.#backoff;
    return this.#isLoaded ? this.#options.pace : 0;
  }

  async #takeTurn(): Promise<void> {
    if (this.#after === undefined) return await this.#load();
    const answer = await this.#options.feed.follow(
      this.#after,
      this.#options.wait,
    );
    answer.caseOf({
      Left: (error) => this.#recordFailure(error),
      Right: (change) => {
        this.#recordSuccess();
        if (change.historyLost) {
          this.#after = undefined;
          this.#context.log.warn(LogEvent.DependencyLost, {
            dependency: `history of ${this.#options.name}`,
            highest: this.#highest,
          });
          return;
        }
        this.#applyRows(change.page);
      },
    });
  }

  async #load(): Promise<void> {
    const answer = await this.#options.feed.load();
    answer.caseOf({
      Left: (error) => this.#recordFailure(error),
      Right: (page) => {
        this.#recordSuccess();
        // An answer from before what is known would bring old rows back.
        if (page.version < this.#highest) return;
        const present = new Set(page.rows.map((row) => row.key));
        const missing = [...this.#versions]
          .filter(([key, version]) =>
            !present.has(key) && version <= page.version
          )
          .map(([key]) => ({ key, version: page.version }));
        this.#applyRows({ ...page, rows: [...page.rows, ...missing] });
        this.#isLoaded = true;
      },
    });
  }

  #applyRows(page: FeedPage<Value>): void {
    const changes: RowChange<Value>[] = [];
    for (const row of page.rows) {
      const known = this.#versions.get(row.key);
      if (known !== undefined && row.version <= known) continue;
      const isRemoved = row.value === undefined && row.fault === undefined;
      if (isRemoved) this.#versions.delete(row.key);
      else this.#versions.set(row.key, row.version);
      if (row.fault !== undefined) this.#reportFault(row);
      changes.push(
        row.value === undefined
          ? { key: row.key }
          : { key: row.key, value: row.value },
      );
    }
    this.#after = page.version;
    this.#highest = Math.max(this.#highest, page.version);
    if (changes.length > 0) this.#options.apply(changes);
  }

  #reportFault(row: FeedRow<Value>): void {
    this.#context.log.warn(LogEvent.RowDamaged, {
      table: this.#options.name,
      key: row.key,
      version: row.version,
      reason: row.fault,
    });
  }

  #recordFailure(error: PlatformError): void {
    const now = this.#context.clock.readMonotonic();
    this.#lastFailure = now;
    if (this.#failingSince === undefined) {
      this.#failingSince = now;
      this.#backoff = FIRST_BACKOFF;
      this.#context.log.warn(LogEvent.DependencyLost, {
        dependency: this.#options.name,
        reason: error.message,
        version: this.#highest,
      });
      return;
    }
    this.#backoff = Math.min(LONGEST_BACKOFF, this.#backoff * 2);
  }

  #recordSuccess(): void {
    if (this.#failingSince === undefined) return;
    const now = this.#context.clock.readMonotonic();
    this.#context.log.info(LogEvent.DependencyBack, {
      dependency: this.#options.name,
      away_ms: Math.round(now - this.#failingSince),
    });
    this.#failingSince = undefined;
  }
}
