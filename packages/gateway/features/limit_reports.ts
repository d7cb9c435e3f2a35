/**
 * Shares the limits that targets name. Each VM reports what it was told if that
 * differs from what the reports of all VMs say. So a VM keeps a limit before its
 * own first answer from the target, and one that rarely has a turn there learns
 * soon that the limit has gone.
 */
import { LRUCache } from "lru-cache";
import { z } from "zod";
import type { Millis, TargetId, Undo } from "../../core/mod.ts";
import type { LimitNotice } from "../../routing/mod.ts";
import type { ListedTarget } from "../dialect.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { ReportExchange, type VmReport } from "./report_exchange.ts";
import type { TargetRegistry } from "./target_registry.ts";

const REPORT_SCHEMA = z.object({
  limits: z.array(z.object({
    target: z.string(),
    incarnation: z.string(),
    /** Null if the target names no limit any more. */
    perSecond: z.number().nonnegative().nullable(),
    /** Milliseconds by the store's clock, as in all rows. */
    at: z.number(),
  })),
});

type LimitReport = z.infer<typeof REPORT_SCHEMA>;
type ReportedLimit = LimitReport["limits"][number];

/**
 * Bounds of the random time after which a limit is reported. Many VMs may be
 * told the same one; those that wait longer find that it is known already.
 */
const MIN_REPORT_DELAY: Millis = 20;
const MAX_REPORT_DELAY_PER_VM: Millis = 10;

/** Maximum number of limits in the report of a VM; the newest are kept. */
const MAX_REPORTED_LIMITS = 64;

/** Maximum number of targets whose reported limits are kept. */
const MAX_KNOWN_LIMITS = 4_096;

/** Keeps the newest limits in the reports of all VMs, and reports new ones. */
export class LimitReports {
  readonly #context: GatewayContext;
  readonly #targets: TargetRegistry;
  readonly #countVms: () => number;
  readonly #exchange: ReportExchange<LimitReport>;
  /** The newest limit of each target in any report. */
  readonly #known = new LRUCache<TargetId, ReportedLimit>({
    max: MAX_KNOWN_LIMITS,
  });
  /** What this VM was told, the oldest first. */
  readonly #own = new Map<TargetId, ReportedLimit>();

  constructor(
    context: GatewayContext,
    options: {
      readonly targets: TargetRegistry;
      readonly countVms: () => number;
    },
  ) {
    this.#context = context;
    this.#targets = options.targets;
    this.#countVms = options.countVms;
    this.#exchange = new ReportExchange(context, {
      name: "limit reports",
      table: "limits",
      feed: context.dialect.limitReports,
      schema: REPORT_SCHEMA,
      apply: (reports) => this.#apply(reports),
      createReport: () => this.#createReport(),
      computeWait: () => this.#computeWait(),
      countVms: options.countVms,
    });
    options.targets.addListingListener((entry) => this.#applyKnown(entry));
  }

  /** Starts to follow the reports of all VMs and to write this VM's own. */
  register(): Undo {
    return this.#exchange.register();
  }

  /** Records a limit that a target has told this VM, or that it names none. */
  recordTold(target: ListedTarget, { perSecond, at }: LimitNotice): void {
    this.#own.delete(target.id);
    this.#own.set(target.id, {
      target: target.id,
      incarnation: target.incarnation,
      perSecond: perSecond ?? null,
      at,
    });
    if (this.#own.size > MAX_REPORTED_LIMITS) {
      const [oldest] = this.#own.keys();
      this.#own.delete(oldest!);
    }
    if (this.#hasNews()) this.#exchange.wake();
  }

  #apply(reports: readonly VmReport<LimitReport>[]): void {
    for (const limit of reports.flatMap(({ report }) => report.limits)) {
      const known = this.#known.get(limit.target);
      if (known !== undefined && known.at >= limit.at) continue;
      this.#known.set(limit.target, limit);
      const listed = this.#targets.find(limit.target);
      if (listed !== undefined) this.#applyKnown(listed);
    }
  }

  /** Applies what is known of a target that is listed. */
  #applyKnown(entry: ListedTarget): void {
    const known = this.#known.get(entry.id);
    if (known === undefined || known.incarnation !== entry.incarnation) return;
    const { perSecond, at } = known;
    this.#targets.applyLimit(
      entry,
      perSecond === null ? { at } : { perSecond, at },
    );
  }

  /** Whether this VM was told something newer than what the reports say. */
  #hasNews(): boolean {
    return [...this.#own.values()].some((own) => {
      const known = this.#known.get(own.target);
      if (known === undefined) return own.perSecond !== null;
      return known.at < own.at && (known.perSecond !== own.perSecond ||
        known.incarnation !== own.incarnation);
    });
  }

  #createReport(): LimitReport | undefined {
    if (!this.#hasNews()) return undefined;
    const limits = [...this.#own.values()];
    // A conflict repeats the write, so that others get the report in any case.
    for (const own of limits) {
      const known = this.#known.get(own.target);
      if (known === undefined || known.at < own.at) {
        this.#known.set(own.target, own);
      }
    }
    return { limits };
  }

  #computeWait(): Millis {
    const spread = this.#countVms() * MAX_REPORT_DELAY_PER_VM;
    return MIN_REPORT_DELAY + this.#context.random() * spread;
  }
}
