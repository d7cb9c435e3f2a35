/**
 * Plans the faults of one soak run from its seed: single faults, quick series of
 * the same fault and faults that overlap, with pauses between them. The plan
 * depends only on its input, so that a run's faults can be repeated by its seed.
 */
import { SeededRandom } from "../bench/mod.ts";
import type { Millis } from "../core/mod.ts";

/** Faults that the runner injects from outside the gateway processes. */
export enum FaultKind {
  /** One VM's process is killed (SIGKILL) and started again. */
  KillVm = "kill-vm",
  /** The processes of all VMs are killed at the same time and started again. */
  KillAll = "kill-all",
  /** One VM's process gets a planned stop (SIGTERM) and is started again. */
  StopVm = "stop-vm",
  /** One VM's process is suspended (SIGSTOP) and resumed. */
  PauseVm = "pause-vm",
  /** One VM is partitioned from the store in both directions. */
  CutStore = "cut-store",
  /** All VMs are partitioned from the store in both directions. */
  CutAll = "cut-all",
  /** One VM's requests reach the store, but the store's answers are lost. */
  CutAnswers = "cut-answers",
  /**
   * One VM's connections to the store are reset; if the fault is a long one, they
   * go silent for good instead.
   */
  ResetStore = "reset-store",
  /** Bytes between all VMs and the store are delayed. */
  DelayStore = "delay-store",
  /** The store refuses every call. */
  StoreBusy = "store-busy",
  /** The store applies writes but doesn't answer them. */
  StoreAnswersLost = "store-answers-lost",
  /** The store answers reads with an older version of its rows. */
  StoreStale = "store-stale",
  /** The store goes away at the end and comes back from a copy of the start. */
  StoreRestored = "store-restored",
  /** The same, and the processes of all VMs are killed while it is away. */
  KillInRestore = "kill-in-restore",
  /** The store drops its change history. */
  StoreForgets = "store-forgets",
  /** The same again and again, while reads are answered from older rows. */
  StoreForgetsStale = "store-forgets-stale",
  /** Some requests fail at the targets, each with a random target fault. */
  TargetFaults = "target-faults",
  /**
   * Targets of another release replace one of the first, beside the others, and
   * targets break off streams meanwhile.
   */
  Release = "release",
  /** The same, and the processes of all VMs are killed meanwhile. */
  KillInRelease = "kill-in-release",
  /** A target is listed as draining and then as ready again. */
  TargetLeaves = "target-leaves",
  /** A target limits its requests, and names that in its answers. */
  TargetLimit = "target-limit",
  /** Settings of a third of the VMs change, with a signal or without one. */
  ReloadSettings = "reload-settings",
  /** A new configuration adds prepaid tokens and new customer keys. */
  Configuration = "configuration",
}

/** One fault, its time and what it affects. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start of the fault, counted from the start of the plan. */
  readonly at: Millis;
  readonly duration: Millis;
  /** Selects the affected VM or target, for faults that affect only one. */
  readonly index: number;
}

/** Input of a fault plan. */
export interface PlanInput {
  readonly seed: number;
  readonly vms: number;
  /** Length of the period in which faults start. */
  readonly duration: Millis;
}

/** Upper bound of the random pause before the next fault or series starts. */
const MAX_PAUSE: Millis = 1_500;

/**
 * Maximum duration of most faults. It is long enough that a VM which is partitioned
 * from the store can run out of tokens.
 */
const MAX_FAULT_DURATION: Millis = 5_000;

/** Minimum duration of a long fault. */
export const LONG_DURATION: Millis = MAX_FAULT_DURATION / 2;

/** Faults that last twice as long: their copy is older than most deadlines. */
const LONG_FAULTS = [FaultKind.StoreRestored, FaultKind.KillInRestore];

/** Probability that a fault is the first of a quick series of the same kind. */
const SERIES_CHANCE = 0.3;

/** Returns the faults for a seed, ordered by start time. */
export function planFaults(input: PlanInput): PlannedFault[] {
  const random = new SeededRandom(input.seed).uniform;
  const kinds = Object.values(FaultKind);
  const faults: PlannedFault[] = [];
  let at: Millis = random() * MAX_PAUSE;
  while (at < input.duration) {
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    const count = random() < SERIES_CHANCE ? 2 + Math.floor(random() * 3) : 1;
    for (let number = 0; number < count && at < input.duration; number++) {
      faults.push(createFault(kind, { ...input, at, random }));
      at += count > 1 ? random() * MAX_PAUSE / 3 : 0;
    }
    at += random() * MAX_PAUSE;
  }
  return faults;
}

function createFault(
  kind: FaultKind,
  input: PlanInput & { readonly at: Millis; readonly random: () => number },
): PlannedFault {
  const { at, random, vms } = input;
  const duration = 200 + random() * (MAX_FAULT_DURATION - 200);
  return {
    kind,
    at: Math.round(at),
    duration: Math.round(LONG_FAULTS.includes(kind) ? 2 * duration : duration),
    index: Math.floor(random() * vms),
  };
}
