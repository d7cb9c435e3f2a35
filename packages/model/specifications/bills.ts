/**
 * Model of billing a repeatable request. The caller sends it to VM A and, when
 * A crashes or is slow, also to VM B. Both VMs use the same target and store.
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
enum BillStatus {
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
  /**
   * For each chunk that the caller received from this VM, the letter of its
   * run.
   */
  readonly chunks: string;
  /** Letter of the run whose stream the VM reads. */
  readonly run: string;
  readonly bill: BillStatus;
  /** Whether the store holds the bill. */
  readonly isStored: boolean;
  /** Whether a write that the VM abandoned may still reach the store. */
  readonly hasLateWrite: boolean;
  /** Whether the other VM has a copy of the bill in its memory. */
  readonly hasCopy: boolean;
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
  const complete = chunks.length === CHUNKS;
  const change = complete
    ? { chunks, stage: Stage.Billing, bill: BillStatus.Held }
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
  const isStoreAvailable = state.outage !== Outage.Now;
  const steps: BillsStep[] = [];
  const add = (label: string, change: Partial<Vm>) =>
    steps.push({
      label: `${name} ${label}`,
      next: changeVm(state, index, change),
    });
  const kept = isOn(Guard.BillKeptUntilDurable)
    ? BillStatus.Held
    : BillStatus.Dropped;
  if (vm.bill === BillStatus.Held) {
    add("bill: sent", { bill: BillStatus.Sent });
  }
  if (vm.bill === BillStatus.Sent) {
    add("bill: abandoned before it was applied", {
      bill: kept,
      hasLateWrite: true,
    });
    if (isStoreAvailable) {
      add("bill: committed", { bill: BillStatus.Durable, isStored: true });
      add("bill: committed, answer lost", { bill: kept, isStored: true });
    } else {
      add("bill: store is unavailable", { bill: kept });
    }
  }
  if (vm.hasLateWrite) {
    add("late bill is never applied", { hasLateWrite: false });
    if (isStoreAvailable) {
      add("late bill is applied", { hasLateWrite: false, isStored: true });
    }
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
  const inMemory = vm.bill === BillStatus.Held || vm.bill === BillStatus.Sent;
  if (inMemory && !vm.hasCopy && peer.alive) {
    add("is copied to the other VM", { hasCopy: true });
  }
  if (!vm.hasCopy) return steps;
  if (vm.alive && vm.bill === BillStatus.Durable) {
    add("is durable, copy is dropped", { hasCopy: false });
  }
  const isStoreAvailable = state.outage !== Outage.Now;
  if (vm.alive || !isStoreAvailable) return steps;
  if (isOn(Guard.BillCopyAdopted)) {
    add("is written from its copy", { hasCopy: false, isStored: true });
  } else {
    add("is lost with its copy", { hasCopy: false });
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
  const isStoreDown = state.outage === Outage.Now;
  const safe = vm.bill === BillStatus.Durable || vm.hasCopy;
  if (isOn(Guard.BillBeforeEnd) && !safe && !isStoreDown) return [];
  const change = { stage: Stage.Ended, endedInOutage: isStoreDown && !safe };
  const next = changeVm(state, index, change);
  return [{ label: `${NAMES[index]} answer ends`, next }];
}

function listFaults(state: BillsState): BillsStep[] {
  const steps: BillsStep[] = [];
  if (state.outage !== Outage.Over) {
    const isBefore = state.outage === Outage.Before;
    const outage = isBefore ? Outage.Now : Outage.Over;
    const label = `store is ${isBefore ? "unavailable" : "available again"}`;
    steps.push({ label, next: { ...state, outage } });
  }
  if (state.crashes >= MAX_CRASHES) return steps;
  state.vms.forEach((vm, index) => {
    if (vm.stage === Stage.New || !vm.alive) return;
    const lost = changeVm(state, index, computeCrashChange(vm));
    const next = {
      ...changeVm(lost, 1 - index, { hasCopy: false }),
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
function computeCrashChange(vm: Vm): Partial<Vm> {
  const stage = vm.stage === Stage.Ended ? Stage.Ended : Stage.Crashed;
  const hasLateWrite = vm.hasLateWrite || vm.bill === BillStatus.Sent;
  const lost = vm.bill === BillStatus.Held || vm.bill === BillStatus.Sent;
  return {
    stage,
    hasLateWrite,
    alive: false,
    bill: lost ? BillStatus.Dropped : vm.bill,
  };
}

function computeBilled(state: BillsState): number {
  const stored = state.vms.filter((vm) => vm.isStored).length;
  return state.countsIdentity ? Math.min(stored, 1) : stored;
}

function isAtRest(state: BillsState): boolean {
  return state.outage !== Outage.Now && state.vms.every((vm) => {
    const idle = vm.stage !== Stage.Streaming && vm.stage !== Stage.Billing;
    const written = vm.bill !== BillStatus.Held && vm.bill !== BillStatus.Sent;
    const orphaned = vm.hasCopy && !vm.alive;
    return idle && written && !vm.hasLateWrite && !orphaned;
  });
}

/**
 * Returns whether an answer has ended that must be billed. A bill may be
 * missing only if every VM that held it crashed: its own VM after an answer
 * that ended in an outage without a copy, or both VMs.
 */
function isBillRequired(state: BillsState): boolean {
  return state.vms.some((vm) => {
    const mayBeLost = !vm.alive && (vm.endedInOutage || state.crashes > 1);
    return vm.stage === Stage.Ended && !mayBeLost;
  });
}

function findViolation(state: BillsState): Invariant | undefined {
  const billed = computeBilled(state);
  if (billed > 1) return Invariant.BilledAtMostOnce;
  if (isAtRest(state) && isBillRequired(state) && billed !== 1) {
    return Invariant.BilledExactlyOnceAtRest;
  }
  const complete = state.vms.every((vm) => new Set(vm.chunks).size <= 1);
  return complete ? undefined : Invariant.OwnWholeAnswer;
}

function formatVm(vm: Vm): string {
  const flags = [
    vm.isStored,
    vm.hasLateWrite,
    vm.endedInOutage,
    vm.hasCopy,
    vm.alive,
  ]
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
      bill: BillStatus.None,
      isStored: false,
      hasLateWrite: false,
      hasCopy: false,
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
