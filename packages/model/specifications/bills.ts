/**
 * Model of billing a repeatable request. The caller sends it to VM A and, when A
 * crashes or is slow, also to VM B. Both VMs use the same target and store.
 *
 * Each VM streams an answer of two chunks, copies the bill to the other VM and
 * writes it to the store, and ends the answer. When a VM has crashed, the other
 * one writes the bill from its copy. The store may be unavailable for a while,
 * its answers may be lost, and writes may reach it late.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/** Number of chunks in a complete answer. */
const CHUNKS = 2;

/** Maximum number of crashes of both VMs together. */
const MAX_CRASHES = 2;

/** Progress of a VM's work on the request. */
enum Stage {
  New = "0",
  Streaming = "s",
  /** The stream is complete and its bill has to be written. */
  Billing = "b",
  /** The caller has received the end of the answer. */
  Ended = "e",
  Crashed = "X",
}

/** State of a VM's bill. */
enum BillMark {
  None = "-",
  /** In the VM's memory; no write is in progress. */
  Held = "h",
  /** In the VM's memory; a write is in progress. */
  Sent = "s",
  /** Confirmed by the store. */
  Durable = "d",
  /** No longer in memory and never confirmed by the store. */
  Dropped = "x",
}

interface Vm {
  readonly stage: Stage;
  /** For each chunk that the caller received from this VM, the letter of its run. */
  readonly chunks: string;
  /** Letter of the run whose stream the VM reads. */
  readonly run: string;
  readonly bill: BillMark;
  /** Whether the store holds the bill. */
  readonly stored: boolean;
  /** Whether a write that the VM abandoned may still reach the store. */
  readonly late: boolean;
  /** Whether the other VM has a copy of the bill in its memory. */
  readonly copied: boolean;
  readonly alive: boolean;
  /** Whether the answer ended in a store outage, with no copy of the bill. */
  readonly endedInOutage: boolean;
}

/** Whether the one store outage is still to come, in progress or over. */
enum Outage {
  Before = "0",
  Now = "1",
  Over = "2",
}

/** A state of the specification. */
export interface BillsState {
  readonly vms: readonly Vm[];
  readonly outage: Outage;
  readonly crashes: number;
  /** Whether readers count bills of the same request as one. */
  readonly countsIdentity: boolean;
}

type BillsStep = Step<BillsState>;

const NAMES = ["A", "B"] as const;

function changeVm(
  state: BillsState,
  index: number,
  change: Partial<Vm>,
): BillsState {
  const vms = state.vms.map((vm, each) =>
    each === index ? { ...vm, ...change } : vm
  );
  return { ...state, vms };
}

function listStreamSteps(
  state: BillsState,
  index: number,
  isOn: GuardCheck,
): BillsStep[] {
  const vm = state.vms[index]!;
  const name = NAMES[index]!;
  if (vm.stage === Stage.New) {
    const change = { stage: Stage.Streaming, run: index === 0 ? "a" : "c" };
    return [{ label: `${name} starts`, next: changeVm(state, index, change) }];
  }
  if (vm.stage !== Stage.Streaming) return [];
  return [
    createChunkStep(state, index),
    ...listReruns(state, index, isOn),
  ];
}

function createChunkStep(state: BillsState, index: number): BillsStep {
  const vm = state.vms[index]!;
  const chunks = vm.chunks + vm.run;
  const whole = chunks.length === CHUNKS;
  const change = whole
    ? { chunks, stage: Stage.Billing, bill: BillMark.Held }
    : { chunks };
  const label = `${NAMES[index]} chunk ${chunks.length} of run ${vm.run}`;
  return { label, next: changeVm(state, index, change) };
}

/** The target fails and the VM runs the request again; at most once per VM. */
function listReruns(
  state: BillsState,
  index: number,
  isOn: GuardCheck,
): BillsStep[] {
  const vm = state.vms[index]!;
  if (vm.run !== "a" && vm.run !== "c") return [];
  const run = vm.run === "a" ? "b" : "d";
  const chunks = isOn(Guard.RetryStartsOver) ? "" : vm.chunks;
  const next = changeVm(state, index, { run, chunks });
  return [{ label: `${NAMES[index]} target fails, run ${run}`, next }];
}

function listBillSteps(
  state: BillsState,
  index: number,
  isOn: GuardCheck,
): BillsStep[] {
  const vm = state.vms[index]!;
  const name = NAMES[index]!;
  const up = state.outage !== Outage.Now;
  const steps: BillsStep[] = [];
  const add = (label: string, change: Partial<Vm>) =>
    steps.push({
      label: `${name} ${label}`,
      next: changeVm(state, index, change),
    });
  const kept = isOn(Guard.BillKeptUntilDurable)
    ? BillMark.Held
    : BillMark.Dropped;
  if (vm.bill === BillMark.Held) {
    add("bill: sent", { bill: BillMark.Sent });
  }
  if (vm.bill === BillMark.Sent) {
    add("bill: abandoned before it was applied", { bill: kept, late: true });
    if (up) {
      add("bill: committed", { bill: BillMark.Durable, stored: true });
      add("bill: committed, answer lost", { bill: kept, stored: true });
    } else {
      add("bill: store is unavailable", { bill: kept });
    }
  }
  if (vm.late) {
    add("late bill is never applied", { late: false });
    if (up) add("late bill is applied", { late: false, stored: true });
  }
  return steps;
}

/** The other VM receives the copy of a bill, drops it, or writes it. */
function listCopySteps(
  state: BillsState,
  index: number,
  isOn: GuardCheck,
): BillsStep[] {
  const vm = state.vms[index]!;
  const name = `${NAMES[index]}'s bill`;
  const peer = state.vms[1 - index]!;
  const steps: BillsStep[] = [];
  const add = (label: string, change: Partial<Vm>) =>
    steps.push({
      label: `${name} ${label}`,
      next: changeVm(state, index, change),
    });
  const inMemory = vm.bill === BillMark.Held || vm.bill === BillMark.Sent;
  if (inMemory && !vm.copied && peer.alive) {
    add("is copied to the other VM", { copied: true });
  }
  if (!vm.copied) return steps;
  if (vm.alive && vm.bill === BillMark.Durable) {
    add("is durable, copy is dropped", { copied: false });
  }
  const up = state.outage !== Outage.Now;
  if (vm.alive || !up) return steps;
  if (isOn(Guard.BillCopyAdopted)) {
    add("is written from its copy", { copied: false, stored: true });
  } else {
    add("is lost with its copy", { copied: false });
  }
  return steps;
}

function listEndSteps(
  state: BillsState,
  index: number,
  isOn: GuardCheck,
): BillsStep[] {
  const vm = state.vms[index]!;
  if (vm.stage !== Stage.Billing) return [];
  const down = state.outage === Outage.Now;
  const safe = vm.bill === BillMark.Durable || vm.copied;
  if (isOn(Guard.BillBeforeEnd) && !safe && !down) return [];
  const change = { stage: Stage.Ended, endedInOutage: down && !safe };
  const next = changeVm(state, index, change);
  return [{ label: `${NAMES[index]} answer ends`, next }];
}

function listFaults(state: BillsState): BillsStep[] {
  const steps: BillsStep[] = [];
  if (state.outage !== Outage.Over) {
    const starts = state.outage === Outage.Before;
    const outage = starts ? Outage.Now : Outage.Over;
    const label = `store is ${starts ? "unavailable" : "available again"}`;
    steps.push({ label, next: { ...state, outage } });
  }
  if (state.crashes >= MAX_CRASHES) return steps;
  state.vms.forEach((vm, index) => {
    if (vm.stage === Stage.New || !vm.alive) return;
    const lost = changeVm(state, index, describeCrash(vm));
    const next = {
      ...changeVm(lost, 1 - index, { copied: false }),
      crashes: state.crashes + 1,
    };
    steps.push({ label: `${NAMES[index]} crash`, next });
  });
  return steps;
}

/**
 * Returns what a crash changes in a VM. The caller keeps an answer that has
 * ended, and a write that is in progress may still reach the store.
 */
function describeCrash(vm: Vm): Partial<Vm> {
  const stage = vm.stage === Stage.Ended ? Stage.Ended : Stage.Crashed;
  const late = vm.late || vm.bill === BillMark.Sent;
  const lost = vm.bill === BillMark.Held || vm.bill === BillMark.Sent;
  return { stage, late, alive: false, bill: lost ? BillMark.Dropped : vm.bill };
}

function computeBilled(state: BillsState): number {
  const stored = state.vms.filter((vm) => vm.stored).length;
  return state.countsIdentity ? Math.min(stored, 1) : stored;
}

function isAtRest(state: BillsState): boolean {
  return state.outage !== Outage.Now && state.vms.every((vm) => {
    const idle = vm.stage !== Stage.Streaming && vm.stage !== Stage.Billing;
    const written = vm.bill !== BillMark.Held && vm.bill !== BillMark.Sent;
    const orphaned = vm.copied && !vm.alive;
    return idle && written && !vm.late && !orphaned;
  });
}

/**
 * Returns whether an answer has ended that must be billed. A bill may be missing
 * only if every VM that held it crashed: its own VM after an answer that ended
 * in an outage without a copy, or both VMs.
 */
function isOwed(state: BillsState): boolean {
  return state.vms.some((vm) => {
    const excused = !vm.alive && (vm.endedInOutage || state.crashes > 1);
    return vm.stage === Stage.Ended && !excused;
  });
}

function findViolation(state: BillsState): Invariant | undefined {
  const billed = computeBilled(state);
  if (billed > 1) return Invariant.BilledAtMostOnce;
  if (isAtRest(state) && isOwed(state) && billed !== 1) {
    return Invariant.BilledExactlyOnceAtRest;
  }
  const whole = state.vms.every((vm) => new Set(vm.chunks).size <= 1);
  return whole ? undefined : Invariant.OwnWholeAnswer;
}

function formatVm(vm: Vm): string {
  const flags = [vm.stored, vm.late, vm.endedInOutage, vm.copied, vm.alive]
    .map((flag) => flag ? "1" : "0").join("");
  return `${vm.stage}${vm.bill}${vm.run}${flags}${vm.chunks}`;
}

/** Model of bills and of when answers may end. */
export const BILLS: Specification<BillsState> = {
  name: "bills",
  scope:
    "1 repeatable request at 2 VMs, answers of 2 chunks, 1 rerun per VM, 2 crashes, 1 store outage, copies of bills at the other VM, late and lost bill writes",
  guards: [
    Guard.BillIdentity,
    Guard.BillBeforeEnd,
    Guard.BillKeptUntilDurable,
    Guard.BillCopyAdopted,
    Guard.RetryStartsOver,
  ],
  invariants: [
    Invariant.BilledAtMostOnce,
    Invariant.BilledExactlyOnceAtRest,
    Invariant.OwnWholeAnswer,
  ],
  createInitial: () => ({
    vms: NAMES.map(() => ({
      stage: Stage.New,
      chunks: "",
      run: "",
      bill: BillMark.None,
      stored: false,
      late: false,
      copied: false,
      alive: true,
      endedInOutage: false,
    })),
    outage: Outage.Before,
    crashes: 0,
    countsIdentity: true,
  }),
  listSteps: (state, isOn) => {
    const countsIdentity = isOn(Guard.BillIdentity);
    const counted = { ...state, countsIdentity };
    return [
      ...NAMES.flatMap((_name, index) => [
        ...listStreamSteps(counted, index, isOn),
        ...listBillSteps(counted, index, isOn),
        ...listCopySteps(counted, index, isOn),
        ...listEndSteps(counted, index, isOn),
      ]),
      ...listFaults(counted),
    ];
  },
  findViolation,
  formatState: (state) =>
    `${state.vms.map(formatVm).join(";")}|${state.outage}${state.crashes}` +
    `${state.countsIdentity ? "i" : "n"}`,
};
