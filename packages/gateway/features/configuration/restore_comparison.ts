/**
 * Compares the configuration of a store that was restored with those of other
 * VMs. The copy may be older than what the operator had written last, and stays
 * so until that is written again. VMs that ran before the restore keep the newer
 * one; a VM that starts in the meantime can learn only from them that there is
 * one. It can't know when the store was restored, so it asks at each start if
 * the store has ever been, and all VMs ask when the era changes.
 */
import {
  type Millis,
  type MonotonicTime,
  readEra,
  type Undo,
} from "../../../core/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  startOnDemand,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { RestoreState } from "./decide_configuration_use.ts";

/** Maximum time for which other VMs are asked if none answers. */
const MAX_SILENCE: Millis = 2_000;

/**
 * The same while no other VM is known. It covers the time in which VMs whose
 * rows were lost write them again.
 */
const MAX_ALONE: Millis = 1_000;

/** Bounds of the pause between two rounds. */
const MIN_PAUSE: Millis = 100;
const MAX_PAUSE: Millis = 500;

/** What one round of questions to other VMs has shown. */
export interface ComparisonRound {
  /** Number of VMs that were asked. */
  readonly asked: number;
  /** Number of VMs that answered in time. */
  readonly answered: number;
  /** Whether one of them has a newer configuration than this VM. */
  readonly isBehind: boolean;
  /** Whether the list of VMs was loaded, or can't be in time. */
  readonly isListLoaded: boolean;
}

/** Whether a comparison ends with a round. */
export function isComparisonOver(
  round: ComparisonRound,
  input: { readonly now: MonotonicTime; readonly startedAt: MonotonicTime },
): boolean {
  if (round.isBehind) return false;
  if (round.answered > 0) return true;
  const limit = round.asked === 0 ? MAX_ALONE : MAX_SILENCE;
  return round.isListLoaded && input.now - input.startedAt >= limit;
}

/** What the comparison needs of the VM's configuration. */
export interface ComparisonAccess {
  /**
   * Returns the version of the store up to which this VM knows all changes; 0
   * before the first load.
   */
  readVersion(): number;
  /** Asks other VMs for a newer configuration and applies it. */
  compare(): Promise<ComparisonRound>;
}

/** Compares with other VMs whenever the store's era has changed. */
export class RestoreComparison {
  readonly #context: GatewayContext;
  readonly #access: ComparisonAccess;
  #process: BackgroundProcess | undefined;
  /** Era of the last comparison; undefined before the first configuration. */
  #era: number | undefined;
  /** When the comparison in progress began. */
  #startedAt: MonotonicTime | undefined;
  #rounds = 0;

  constructor(context: GatewayContext, access: ComparisonAccess) {
    this.#context = context;
    this.#access = access;
  }

  /** Starts the process that {@link check} wakes. */
  register(): Undo {
    this.#process = startOnDemand({
      computeWait: () => this.#computeWait(),
      run: () => this.#run(),
      reportError: createErrorReporter(
        this.#context.log,
        "comparison after a restore",
      ),
    });
    return this.#process.stop;
  }

  /** Begins to compare if the era has changed since the last comparison. */
  check(): void {
    this.#process?.wake();
  }

  /** Returns whether other VMs may have a newer configuration than the store. */
  get state(): RestoreState {
    if (!this.#isPending) return RestoreState.Compared;
    return this.#era === undefined
      ? RestoreState.FirstPending
      : RestoreState.Pending;
  }

  get #isPending(): boolean {
    return readEra(this.#access.readVersion()) > (this.#era ?? 0);
  }

  #computeWait(): Millis {
    if (this.#rounds === 0) return 0;
    return Math.min(MAX_PAUSE, MIN_PAUSE * 2 ** (this.#rounds - 1));
  }

  /** Takes one round; returns whether another one is needed. */
  async #run(): Promise<boolean> {
    const { clock } = this.#context;
    const version = this.#access.readVersion();
    if (version === 0) return false;
    if (this.#isPending) {
      this.#startedAt ??= clock.readMonotonic();
      const round = await this.#access.compare();
      const input = {
        now: clock.readMonotonic(),
        startedAt: this.#startedAt,
      };
      this.#rounds++;
      if (!isComparisonOver(round, input)) return true;
    }
    this.#era = readEra(version);
    this.#startedAt = undefined;
    this.#rounds = 0;
    return this.#isPending;
  }
}
