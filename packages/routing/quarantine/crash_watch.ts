/**
 * Tells a crash of a target from a connection that was lost for another reason.
 *
 * A lost connection alone shows little: a target may close or reset one and run
 * on, and a VM that is disconnected loses all of them. A target has crashed if
 * connections to it were lost and, within a short time, its machine refuses new
 * ones or the target is listed with another incarnation.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";

/** Maximum time between a lost connection and the proof that it was a crash. */
const PROOF_WINDOW: Millis = 5_000;

/** Maximum number of lost attempts that are kept for one target. */
const MAX_LOST_ATTEMPTS = 256;

/** Maximum number of targets with lost attempts. */
const MAX_TARGETS = 1_000;

/** One attempt that ended with its connection, before the first event. */
export interface LostAttempt {
  /** What the request holds that may have caused a crash. */
  readonly parts: readonly string[];
  /** Whether the target had begun its answer. */
  readonly hasHead: boolean;
}

/** A crash and the attempts that it ended, as seen by one VM. */
export interface ObservedCrash {
  readonly target: TargetId;
  readonly incarnation: string;
  /** When the first of the attempts ended. */
  readonly at: MonotonicTime;
  readonly attempts: readonly LostAttempt[];
}

interface TargetLosses {
  readonly incarnation: string;
  readonly at: MonotonicTime;
  readonly attempts: LostAttempt[];
  hasCrashed: boolean;
}

/** Collects lost attempts of one VM until a crash explains them. */
export class CrashWatch {
  readonly #losses = new Map<TargetId, TargetLosses>();

  /**
   * Records an attempt whose connection was lost. Returns the crash if it is
   * already known that the target has crashed.
   */
  recordLost(
    target: TargetId,
    input: {
      readonly incarnation: string;
      readonly attempt: LostAttempt;
      readonly now: MonotonicTime;
    },
  ): ObservedCrash | undefined {
    const { incarnation, attempt, now } = input;
    const known = this.#read(target, now);
    if (known === undefined || known.incarnation !== incarnation) {
      this.#losses.delete(target);
      const attempts = [attempt];
      const losses = { incarnation, at: now, attempts, hasCrashed: false };
      this.#losses.set(target, losses);
      this.#evict();
      return undefined;
    }
    if (known.attempts.length < MAX_LOST_ATTEMPTS) known.attempts.push(attempt);
    if (!known.hasCrashed) return undefined;
    return { target, incarnation, at: known.at, attempts: [attempt] };
  }

  /**
   * Records that a target's machine refused a connection. Returns the crash
   * that this proves, once.
   */
  recordRefused(
    target: TargetId,
    now: MonotonicTime,
  ): ObservedCrash | undefined {
    return this.#recordProof(target, this.#read(target, now));
  }

  /**
   * Records the incarnation with which a target is listed. Returns the crash of
   * an earlier one that this proves, once.
   */
  recordListed(
    target: TargetId,
    input: { readonly incarnation: string; readonly now: MonotonicTime },
  ): ObservedCrash | undefined {
    const known = this.#read(target, input.now);
    if (known?.incarnation === input.incarnation) return undefined;
    return this.#recordProof(target, known);
  }

  #recordProof(
    target: TargetId,
    known: TargetLosses | undefined,
  ): ObservedCrash | undefined {
    if (known === undefined || known.hasCrashed) return undefined;
    known.hasCrashed = true;
    const { incarnation, at, attempts } = known;
    return { target, incarnation, at, attempts: [...attempts] };
  }

  #read(target: TargetId, now: MonotonicTime): TargetLosses | undefined {
    const known = this.#losses.get(target);
    if (known === undefined || now - known.at <= PROOF_WINDOW) return known;
    this.#losses.delete(target);
    return undefined;
  }

  #evict(): void {
    if (this.#losses.size <= MAX_TARGETS) return;
    const [oldest] = this.#losses.keys();
    this.#losses.delete(oldest!);
  }
}
