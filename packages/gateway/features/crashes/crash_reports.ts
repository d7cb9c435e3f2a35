/**
 * Shares what the VMs observe of prompt parts and whole requests that crash
 * targets; a request is one more part, identified by a digest. Each VM
 * writes its evidence to its own row when it has something new, and follows the
 * rows of all VMs. While the store is unavailable, a VM decides by what it has
 * observed and read so far.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import {
  combineUndo,
  type JsonValue,
  type Millis,
  type Refusal,
  RefusalKind,
  type RowOperation,
  type StoreTime,
  type Undo,
} from "../../../core/mod.ts";
import type { StoreWriter } from "../../../ports/mod.ts";
import {
  type CrashReport,
  type EvidenceReport,
  PartQuarantine,
  type QuarantinedParts,
} from "../../../routing/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  createRefusal,
  LogEvent,
  startOnDemand,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { createRowWriter } from "../create_row_writer.ts";
import { FeedFollower, type RowChange } from "../feed_follower.ts";
import { readStoreTime } from "../read_store_time.ts";
import type { SuspectKeys } from "./suspect_keys.ts";

const REPORT_SCHEMA = z.object({
  crashes: z.array(z.object({
    target: z.string(),
    incarnation: z.string(),
    /** Milliseconds by the store's clock, as in all rows. */
    at: z.number(),
    parts: z.array(z.string()),
  })),
  proofs: z.array(z.object({ part: z.string(), at: z.number() })),
});

/** Maximum time that one call waits for changes. */
const FEED_WAIT: Millis = 3_000;

/** Pause between two calls, which batches rows that change together. */
const FEED_PAUSE: Millis = 100;

/** Time to collect the attempts that one crash ends before they are written. */
const CRASH_DELAY: Millis = 50;

/**
 * Bounds of the random time after which a proof is written. Many VMs may have
 * the same one; those that wait longer find that it is not needed any more.
 */
const MIN_PROOF_DELAY: Millis = 50;
const MAX_PROOF_DELAY_PER_VM: Millis = 10;

/**
 * Minimum time between two writes of a VM, and what each VM adds to it, so that
 * many crashes don't exhaust the writes of the rows' common partition.
 */
const MIN_WRITE_PAUSE: Millis = 200;
const WRITE_PAUSE_PER_VM: Millis = 5;

/** Maximum pause between two attempts to write the row. */
const MAX_BACKOFF: Millis = 1_000;

/** Why a request is refused, for the caller and for the log. */
export interface CrashRefusal {
  readonly refusal: Refusal;
  readonly detail: string;
}

/** Keeps the evidence of all VMs and refuses requests by it. */
export class CrashReports {
  readonly #context: GatewayContext;
  readonly #countVms: () => number;
  readonly #quarantine = new PartQuarantine();
  readonly #follower: FeedFollower<JsonValue>;
  readonly #writer: StoreWriter;
  #process: BackgroundProcess | undefined;
  #hasNewCrash = false;
  #logged: readonly QuarantinedParts[] = [];

  constructor(
    context: GatewayContext,
    options: { readonly countVms: () => number },
  ) {
    this.#context = context;
    this.#countVms = options.countVms;
    const { dialect } = context;
    this.#follower = new FeedFollower(context, {
      name: "crash reports",
      feed: dialect.crashReports,
      wait: FEED_WAIT,
      pause: FEED_PAUSE,
      apply: (changes) => this.#apply(changes),
    });
    this.#writer = createRowWriter(context, MAX_BACKOFF);
  }

  /** Starts to follow the reports of all VMs and to write this VM's own. */
  register(): Undo {
    const { kernel, log } = this.#context;
    this.#process = startOnDemand({
      computeWait: () => this.#computeWait(),
      run: () => this.#write(),
      reportError: createErrorReporter(log, "crash reports"),
    });
    return combineUndo([
      kernel.registerDump("quarantinedParts", () => this.#logged),
      this.#follower.register(),
      this.#process.stop,
      () => this.#writer.close(),
    ]);
  }

  /** Records that an answer to a request with these keys has begun. */
  recordBegun(keys: SuspectKeys): void {
    const now = readStoreTime(this.#context);
    if (now === undefined) return;
    if (!this.#quarantine.recordBegun(keys.all, now)) return;
    this.#logChanges(now);
    this.#process?.wake();
  }

  /**
   * Records a crash that ended requests with these parts `age` ago. Returns the
   * parts that may have caused it.
   */
  recordCrash(
    crash: Omit<CrashReport, "at"> & { readonly age: Millis },
  ): readonly string[] {
    const now = readStoreTime(this.#context);
    if (now === undefined) return [];
    const { target, incarnation, parts } = crash;
    const at = now - crash.age;
    const suspects = this.#quarantine
      .recordCrash({ target, incarnation, at, parts });
    if (suspects.length === 0) return suspects;
    this.#logChanges(now);
    this.#hasNewCrash = true;
    this.#process?.wake();
    return suspects;
  }

  /**
   * Whether a request holds a part that may have crashed a target. A request
   * that may have as a whole is no suspect: any target that dies breaks many.
   */
  hasSuspectPart(keys: SuspectKeys): boolean {
    const now = readStoreTime(this.#context);
    if (now === undefined) return false;
    return this.#quarantine.hasSuspect(keys.sharedParts, now);
  }

  /** Returns why a request with these keys must not run, if it must not. */
  findRefusal(keys: SuspectKeys): CrashRefusal | undefined {
    const now = readStoreTime(this.#context);
    if (now === undefined) return undefined;
    const suspects = [...keys.sharedParts, keys.request];
    const found = this.#quarantine.findQuarantined(suspects, now);
    if (found === undefined) return undefined;
    const kind = found.parts.includes(keys.request)
      ? RefusalKind.RequestQuarantined
      : RefusalKind.PartQuarantined;
    return {
      refusal: createRefusal(kind, { retryAfter: found.until - now }),
      detail: `parts ${found.parts.join(",")} crashed targets ${
        found.targets.join(",")
      }`,
    };
  }

  #apply(changes: readonly RowChange<JsonValue>[]): void {
    const now = readStoreTime(this.#context);
    if (now === undefined) return;
    for (const { key, value } of changes) {
      // A removed row takes back nothing; evidence expires by its time.
      if (value === undefined) continue;
      const parsed = REPORT_SCHEMA.safeParse(value);
      if (parsed.success) {
        const isOwn = key === this.#context.vm;
        this.#quarantine.applyReport(parsed.data, { isOwn, now });
        continue;
      }
      this.#context.log.warn(LogEvent.RowDamaged, {
        table: "crash reports",
        key,
        reason: z.prettifyError(parsed.error),
      });
    }
    this.#logChanges(now);
    if (this.#quarantine.hasUnreportedProof(now)) this.#process?.wake();
  }

  #computeWait(): Millis {
    if (this.#hasNewCrash) return CRASH_DELAY;
    const spread = this.#countVms() * MAX_PROOF_DELAY_PER_VM;
    return MIN_PROOF_DELAY + this.#context.random() * spread;
  }

  async #write(): Promise<boolean> {
    const now = readStoreTime(this.#context);
    if (now === undefined) return false;
    if (!this.#hasNewCrash && !this.#quarantine.hasUnreportedProof(now)) {
      return false;
    }
    this.#hasNewCrash = false;
    const report = this.#quarantine.createReport(now);
    const written = await this.#writer.run(
      createReportWrite(this.#context.vm, report),
      { giveUpAt: Infinity },
    );
    written.ifLeft((error) =>
      this.#context.log.error(LogEvent.StoreFailed, {
        dependency: "crash reports",
        reason: error.message,
      })
    );
    await sleep(
      Math.max(MIN_WRITE_PAUSE, this.#countVms() * WRITE_PAUSE_PER_VM),
    );
    return this.#hasNewCrash;
  }

  #logChanges(now: StoreTime): void {
    const current = this.#quarantine.listQuarantined(now);
    if (current === this.#logged) return;
    const { log, metrics } = this.#context;
    const before = new Set(this.#logged.map(formatParts));
    const after = new Set(current.map(formatParts));
    for (const each of current) {
      if (before.has(formatParts(each))) continue;
      log.warn(LogEvent.PartsQuarantined, {
        parts: formatParts(each),
        targets: each.targets.join(","),
        for_ms: Math.round(each.until - now),
      });
    }
    for (const parts of before) {
      if (!after.has(parts)) log.info(LogEvent.PartsReleased, { parts });
    }
    metrics.quarantinedParts.set(current.length);
    this.#logged = current;
  }
}

function formatParts(quarantined: QuarantinedParts): string {
  return quarantined.parts.join(",");
}

function createReportWrite(
  vm: string,
  report: EvidenceReport,
): RowOperation<void> {
  const key = `crashes/${vm}`;
  const value: JsonValue = {
    crashes: report.crashes.map((crash) => ({ ...crash })),
    proofs: report.proofs.map((proof) => ({ ...proof })),
  };
  return {
    id: `report-crashes/${vm}`,
    keys: [key],
    decide: () => ({ writes: [{ key, value }], result: undefined }),
  };
}
