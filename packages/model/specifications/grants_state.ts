/** State of the grants and top-ups models and its serialisation. */
import type { SentWrite, StoredRow } from "../stored_row.ts";
import type { BudgetCall, BudgetValue } from "./budget_value.ts";

/** Number of tokens of the event before the top-up. */
export const INITIAL_LIMIT = 1;

/** Number of grant slots of each VM; a VM uses them one after the other. */
export const GRANTS_PER_VM = 2;

/** Indices of the VMs. */
export const VMS = [0, 1] as const;

/** An operation of a VM, with its write. */
export interface CallState extends BudgetCall {
  /**
   * Write in progress; absent after a lost answer or a conflict, until the call
   * is sent again.
   */
  readonly write?: SentWrite<BudgetValue>;
}

/** A grant in the memory of its VM. */
export interface HeldGrant {
  readonly slot: number;
  readonly spent: number;
  readonly reserved: number;
  /** Whether the grant's deadline has passed. */
  readonly expired: boolean;
}

/** State of a VM. */
export interface Vm {
  /** Number of grants taken so far, which selects the slot of the next one. */
  readonly taken: number;
  readonly grant?: HeldGrant;
  readonly call?: CallState;
  /** Abandoned write that may still be applied. */
  readonly lateWrite?: SentWrite<BudgetValue>;
  /** Whether the VM was asked for the top-up. */
  readonly toppedUp: boolean;
}

/** A state of the grants and top-ups models. */
export interface GrantsState {
  readonly row: StoredRow<BudgetValue>;
  readonly vms: readonly Vm[];
  /** Number of crashes of both VMs together. */
  readonly crashes: number;
  /** Tokens that targets have generated. */
  readonly spent: number;
  /** Tokens that were paid for: the initial limit and the top-up. */
  readonly paid: number;
}

export function changeVm(
  state: GrantsState,
  index: number,
  change: Partial<Record<keyof Vm, unknown>>,
): GrantsState {
  const vms = state.vms.map((vm, each) =>
    each === index ? { ...vm, ...change } as Vm : vm
  );
  return { ...state, vms };
}

export function formatWrite(write: SentWrite<BudgetValue> | undefined): string {
  if (write === undefined) return "-";
  return `${write.base}${formatValue(write.value)}`;
}

export function formatValue(value: BudgetValue): string {
  const { limit, closed, grants, writeOffs, toppedUp } = value;
  const sizes = `${grants.join("")}${writeOffs.join("")}`;
  return `${limit}${closed}${sizes}${toppedUp ? "t" : "f"}`;
}

export function formatVm(vm: Vm): string {
  const { grant, call } = vm;
  const held = grant === undefined
    ? "-"
    : `${grant.slot}${grant.spent}${grant.reserved}${
      grant.expired ? "l" : "o"
    }`;
  const pendingCall = call === undefined
    ? "-"
    : `${call.kind[0]}${call.slot}${call.spent}${formatWrite(call.write)}`;
  const flags = `${vm.taken}${vm.toppedUp ? "t" : "f"}`;
  return `${flags}${held},${pendingCall},${formatWrite(vm.lateWrite)}`;
}

export function createInitialState(): GrantsState {
  const grants = VMS.flatMap(() => Array<number>(GRANTS_PER_VM).fill(0));
  const value = {
    limit: INITIAL_LIMIT,
    closed: 0,
    grants,
    writeOffs: grants,
    toppedUp: false,
  };
  return {
    row: { version: 0, value },
    vms: VMS.map(() => ({ taken: 0, toppedUp: false })),
    crashes: 0,
    spent: 0,
    paid: INITIAL_LIMIT,
  };
}

export function formatGrantsState(state: GrantsState): string {
  const { version, value } = state.row;
  const ghosts = `${state.crashes}${state.spent}${state.paid}`;
  const vms = state.vms.map(formatVm).join(";");
  return `${version}.${formatValue(value)}|${vms}|${ghosts}`;
}
