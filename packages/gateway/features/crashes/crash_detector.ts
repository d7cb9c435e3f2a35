/**
 * Detects crashes of targets. When a connection to a target is lost before the
 * first event of an answer, it probes whether the target still accepts
 * connections, and reports the parts of the prompts that a crash ended.
 */
import type { TargetId } from "../../../core/mod.ts";
import { ConnectionProbe } from "../../../ports/mod.ts";
import {
  CrashWatch,
  type LostAttempt,
  type ObservedCrash,
} from "../../../routing/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { ListedTarget } from "../../dialect.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { TargetProbes } from "../paths/target_probes.ts";
import type { CrashReports } from "./crash_reports.ts";
import type { SuspectKeys } from "./suspect_keys.ts";

/** What shows that a lost connection was a crash, as logged. */
enum CrashProof {
  /** The target's machine refused a connection. */
  Refused = "refused",
  /** The target is listed with another incarnation. */
  Restarted = "restarted",
  /** The crash was proven before; this is one more attempt that it ended. */
  Earlier = "earlier",
}

/** Detects crashes by the connections and the entries of targets. */
export class CrashDetector {
  readonly #context: GatewayContext;
  readonly #reports: CrashReports;
  readonly #probes: TargetProbes;
  readonly #reportRefused: (target: TargetId) => void;
  readonly #watch = new CrashWatch();

  constructor(
    context: GatewayContext,
    options: {
      readonly reports: CrashReports;
      readonly probes: TargetProbes;
      /** Called when a target's machine refuses a connection. */
      readonly reportRefused: (target: TargetId) => void;
    },
  ) {
    this.#context = context;
    this.#reports = options.reports;
    this.#probes = options.probes;
    this.#reportRefused = options.reportRefused;
  }

  /**
   * Records that a connection was lost before the first event of an answer.
   * Resolves when the target's machine has been probed.
   */
  async recordLost(
    target: ListedTarget,
    input: {
      readonly keys: SuspectKeys;
      readonly hasHead: boolean;
    },
  ): Promise<void> {
    const parts = [...input.keys.sharedParts, input.keys.request];
    const crash = this.#watch.recordLost(target.id, {
      incarnation: target.incarnation,
      attempt: { parts, hasHead: input.hasHead },
      now: this.#context.clock.readMonotonic(),
    });
    if (crash !== undefined) return this.#report(crash, CrashProof.Earlier);
    const result = await this.#probes.check(target);
    if (result === ConnectionProbe.Refused) this.recordRefused(target.id);
  }

  /** Records that a target's machine refused the connection of an attempt. */
  recordRefused(target: TargetId): void {
    this.#reportRefused(target);
    const now = this.#context.clock.readMonotonic();
    this.#report(this.#watch.recordRefused(target, now), CrashProof.Refused);
  }

  /** Records a changed entry of a target. */
  recordListed({ id, incarnation }: ListedTarget): void {
    const now = this.#context.clock.readMonotonic();
    const crash = this.#watch.recordListed(id, { incarnation, now });
    this.#report(crash, CrashProof.Restarted);
  }

  #report(crash: ObservedCrash | undefined, proof: CrashProof): void {
    if (crash === undefined) return;
    const { target, incarnation, at, attempts } = crash;
    const suspects = this.#reports.recordCrash({
      target,
      incarnation,
      age: this.#context.clock.readMonotonic() - at,
      parts: listPartsByEvidence(attempts),
    });
    if (proof !== CrashProof.Earlier) this.#context.metrics.targetCrashes.inc();
    this.#context.log.warn(LogEvent.TargetCrashed, {
      target,
      life: incarnation,
      proof,
      attempts: attempts.length,
      suspects: suspects.join(","),
    });
  }
}

/** Lists the parts of answers that had begun first, which matters in a limit. */
function listPartsByEvidence(attempts: readonly LostAttempt[]): string[] {
  const begun = attempts.filter((attempt) => attempt.hasHead);
  const others = attempts.filter((attempt) => !attempt.hasHead);
  return [...begun, ...others].flatMap((attempt) => [...attempt.parts]);
}
