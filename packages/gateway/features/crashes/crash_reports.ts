/**
 * Shares what the VMs observe of prompt parts and whole requests that crash
 * targets; a request is one more part, identified by a digest.
 */
import { z } from "zod";
import {
  combineUndo,
  type Millis,
  type Refusal,
  RefusalKind,
  type StoreTime,
  type Undo,
} from "../../../core/mod.ts";
import {
  type CrashReport,
  type EvidenceReport,
  PartQuarantine,
  type QuarantinedParts,
} from "../../../routing/mod.ts";
import { createRefusal, LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { readStoreTime } from "../read_store_time.ts";
import { ReportExchange, type VmReport } from "../report_exchange.ts";
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

/** Time to collect the attempts that one crash ends before they are written. */
const CRASH_DELAY: Millis = 50;

/**
 * Bounds of the random time after which a proof is written. Many VMs may have
 * the same one; those that wait longer find that it is not needed any more.
 */
const MIN_PROOF_DELAY: Millis = 50;
const MAX_PROOF_DELAY_PER_VM: Millis = 10;

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
  readonly #exchange: ReportExchange<EvidenceReport>;
  #hasNewCrash = false;
  #logged: readonly QuarantinedParts[] = [];

  constructor(
    context: GatewayContext,
    options: { readonly countVms: () => number },
  ) {
    this.#context = context;
    this.#countVms = options.countVms;
    this.#exchange = new ReportExchange(context, {
      name: "crash reports",
      table: "crashes",
      feed: context.dialect.crashReports,
      schema: REPORT_SCHEMA,
      apply: (reports) => this.#apply(reports),
      createReport: () => this.#createReport(),
      computeWait: () => this.#computeWait(),
      countVms: options.countVms,
    });
  }

  /** Starts to follow the reports of all VMs and to write this VM's own. */
  register(): Undo {
    const { kernel } = this.#context;
    return combineUndo([
      kernel.registerDump("quarantinedParts", () => this.#logged),
      this.#exchange.register(),
    ]);
  }

  /** Records that an answer to a request with these keys has begun. */
  recordBegun(keys: SuspectKeys): void {
    const now = readStoreTime(this.#context);
    if (now === undefined) return;
    if (!this.#quarantine.recordBegun(keys.all, now)) return;
    this.#logChanges(now);
    this.#exchange.wake();
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
    this.#exchange.wake();
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

  #apply(reports: readonly VmReport<EvidenceReport>[]): void {
    const now = readStoreTime(this.#context);
    if (now === undefined) return;
    for (const { vm, report } of reports) {
      const isOwn = vm === this.#context.vm;
      this.#quarantine.applyReport(report, { isOwn, now });
    }
    this.#logChanges(now);
    if (this.#quarantine.hasUnreportedProof(now)) this.#exchange.wake();
  }

  #computeWait(): Millis {
    if (this.#hasNewCrash) return CRASH_DELAY;
    const spread = this.#countVms() * MAX_PROOF_DELAY_PER_VM;
    return MIN_PROOF_DELAY + this.#context.random() * spread;
  }

  #createReport(): EvidenceReport | undefined {
    const now = readStoreTime(this.#context);
    if (now === undefined) return undefined;
    if (!this.#hasNewCrash && !this.#quarantine.hasUnreportedProof(now)) {
      return undefined;
    }
    this.#hasNewCrash = false;
    return this.#quarantine.createReport(now);
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
