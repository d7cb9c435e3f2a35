/**
 * Faults of one soak run, drawn from its seed: series of the same fault and
 * faults that overlap, with quiet pauses between. Pure, so that a seed is the
 * whole description of what happens.
 */
import { SeededRandom } from "../bench/mod.ts";
import type { Millis } from "../core/mod.ts";

/** What is done from outside a process. */
export enum FaultKind {
  /** One VM's process is killed and started again. */
  KillVm = "kill-vm",
  /** All VMs' processes are killed at the same moment. */
  KillAll = "kill-all",
  /** One VM is stopped as planned and started again. */
  StopVm = "stop-vm",
  /** One VM's process stands still. */
  PauseVm = "pause-vm",
  /** One VM is cut off from the store: nothing passes. */
  CutStore = "cut-store",
  /** All VMs are cut off from the store. */
  CutAll = "cut-all",
  /** Bytes from the store to one VM don't arrive, the others do. */
  CutAnswers = "cut-answers",
  /** One VM's connections to the store are reset. */
  ResetStore = "reset-store",
  /** The store's bytes are late. */
  DelayStore = "delay-store",
  /** The store refuses all calls. */
  StoreBusy = "store-busy",
  /** The store carries writes out and does not answer them. */
  StoreAnswersLost = "store-answers-lost",
  /** The store answers reads as they were before. */
  StoreStale = "store-stale",
  /** The store forgets its history. */
  StoreForgets = "store-forgets",
  /** Some requests fail at the targets, in all ways of the stand-ins. */
  TargetFaults = "target-faults",
  /** A target says that it is leaving and comes back. */
  TargetLeaves = "target-leaves",
  /** A new configuration with more prepaid tokens and another key. */
  Configuration = "configuration",
}

/** One fault and when it holds. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** From the start of the run. */
  readonly at: Millis;
  readonly duration: Millis;
  /** Which VM or target it befalls, where it befalls one. */
  readonly index: number;
}

/** Shape of a run. */
export interface PlanInput {
  readonly seed: number;
  readonly vms: number;
  /** Time in which faults begin. */
  readonly duration: Millis;
}

/** Longest pause between the beginnings of two faults. */
const MAX_PAUSE: Millis = 1_500;

/** Longest time that a fault holds; more than a VM's tokens last is possible. */
const MAX_FAULT_DURATION: Millis = 5_000;

/** Chance that a fault is followed by more of the same in quick succession. */
const SERIES_CHANCE = 0.3;

/** Returns the faults of a seed in the order of their beginning. */
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
  return {
    kind,
    at: Math.round(at),
    duration: Math.round(200 + random() * (MAX_FAULT_DURATION - 200)),
    index: Math.floor(random() * vms),
  };
}
