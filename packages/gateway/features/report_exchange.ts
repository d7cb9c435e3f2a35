/**
 * Exchanges reports between the VMs: each VM writes its own report to a row when
 * it has something new, and follows the rows of all VMs. While the store is
 * unavailable, a VM decides by what it has observed and read so far.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import {
  combineUndo,
  type JsonValue,
  type Millis,
  type RowOperation,
  type Undo,
  type VmId,
} from "../../core/mod.ts";
import type { FeedPort, StoreWriter } from "../../ports/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  LogEvent,
  startOnDemand,
} from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { createRowWriter } from "./create_row_writer.ts";
import { FeedFollower, type RowChange } from "./feed_follower.ts";

/** Maximum time that one call waits for changes. */
const FEED_WAIT: Millis = 3_000;

/** Pause between two calls, which batches rows that change together. */
const FEED_PAUSE: Millis = 100;

/**
 * Minimum time between two writes of a VM, and what each VM adds to it, so that
 * many changes don't exhaust the writes of the rows' common partition.
 */
const MIN_WRITE_PAUSE: Millis = 200;
const WRITE_PAUSE_PER_VM: Millis = 5;

/** Maximum pause between two attempts to write the row. */
const MAX_BACKOFF: Millis = 1_000;

/** The report of one VM, as read from its row. */
export interface VmReport<Report> {
  readonly vm: VmId;
  readonly report: Report;
}

/** What is exchanged, and when. */
export interface ReportExchangeOptions<Report> {
  /** Name of the reports in logs. */
  readonly name: string;
  /** Table of the rows, of which each VM writes the one with its name. */
  readonly table: string;
  readonly feed: FeedPort<JsonValue>;
  readonly schema: z.ZodType<Report>;
  /** Applies reports that are new or changed. */
  readonly apply: (reports: readonly VmReport<Report>[]) => void;
  /** Returns this VM's report; undefined if the others lack nothing of it. */
  readonly createReport: () => Report | undefined;
  /** Returns the time to collect what a write should hold. */
  readonly computeWait: () => Millis;
  /** Returns the number of VMs. */
  readonly countVms: () => number;
}

/** Writes one kind of report of this VM and reads those of all VMs. */
export class ReportExchange<Report extends object> {
  readonly #context: GatewayContext;
  readonly #options: ReportExchangeOptions<Report>;
  readonly #follower: FeedFollower<JsonValue>;
  readonly #writer: StoreWriter;
  #process: BackgroundProcess | undefined;

  constructor(
    context: GatewayContext,
    options: ReportExchangeOptions<Report>,
  ) {
    this.#context = context;
    this.#options = options;
    this.#follower = new FeedFollower(context, {
      name: options.name,
      feed: options.feed,
      wait: FEED_WAIT,
      pause: FEED_PAUSE,
      apply: (changes) => this.#apply(changes),
    });
    this.#writer = createRowWriter(context, MAX_BACKOFF);
  }

  /** Starts to follow the reports of all VMs and to write this VM's own. */
  register(): Undo {
    const { name, computeWait } = this.#options;
    this.#process = startOnDemand({
      computeWait,
      run: () => this.#write(),
      reportError: createErrorReporter(this.#context.log, name),
    });
    return combineUndo([
      this.#follower.register(),
      this.#process.stop,
      () => this.#writer.close(),
    ]);
  }

  /** Asks for a write of this VM's report, if it then has something new. */
  wake(): void {
    this.#process?.wake();
  }

  #apply(changes: readonly RowChange<JsonValue>[]): void {
    const { schema, table, apply } = this.#options;
    const reports: VmReport<Report>[] = [];
    for (const { key, value } of changes) {
      // A removed row takes back nothing; what it said expires by its time.
      if (value === undefined) continue;
      const parsed = schema.safeParse(value);
      if (parsed.success) {
        reports.push({ vm: key, report: parsed.data });
        continue;
      }
      this.#context.log.warn(LogEvent.RowDamaged, {
        table,
        key,
        reason: z.prettifyError(parsed.error),
      });
    }
    if (reports.length > 0) apply(reports);
  }

  async #write(): Promise<boolean> {
    const report = this.#options.createReport();
    if (report === undefined) return false;
    const written = await this.#writer.run(this.#createWrite(report), {
      giveUpAt: Infinity,
    });
    written.ifLeft((error) =>
      this.#context.log.error(LogEvent.StoreFailed, {
        dependency: this.#options.name,
        reason: error.message,
      })
    );
    const pause = this.#options.countVms() * WRITE_PAUSE_PER_VM;
    await sleep(Math.max(MIN_WRITE_PAUSE, pause));
    return false;
  }

  #createWrite(report: Report): RowOperation<void> {
    const { table } = this.#options;
    const key = `${table}/${this.#context.vm}`;
    // A copy, since the report may be changed while the write is repeated.
    const value = structuredClone(report) as JsonValue;
    return {
      id: `report-${table}/${this.#context.vm}`,
      keys: [key],
      decide: () => ({ writes: [{ key, value }], result: undefined }),
    };
  }
}
