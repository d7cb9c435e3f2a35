/** The states of the grants and top-ups models and their short texts. */
import type { SentWrite, StoredRow } from "../stored_row.ts";
import type { BudgetCall, BudgetValue } from "./budget_value.ts";

/** Tokens of the event before the top-up. */
export const INITIAL_LIMIT = 1;

/** Slots for grants of each VM; a VM takes them one after the other. */
export const GRANTS_PER_VM = 2;

/** The VMs of the specification. */
export const VMS = [0, 1] as const;

export interface CallState extends BudgetCall {
  /** Absent after a lost answer or a conflict, until the call is sent again. */
  readonly write?: SentWrite<BudgetValue>;
}

export interface HeldGrant {
  readonly slot: number;
  readonly spent: number;
  readonly reserved: number;
  readonly lapsed: boolean;
}

export interface Vm {
  /** Grants taken so far, which numbers the next one. */
  readonly taken: number;
  readonly grant?: HeldGrant;
  readonly call?: CallState;
  /** A write given up by the VM, which may still land. */
  readonly late?: SentWrite<BudgetValue>;
  readonly toppedUp: boolean;
}

/** A state of the specification. */
export interface GrantsState {
  readonly row: StoredRow<BudgetValue>;
  readonly vms: readonly Vm[];
  readonly crashes: number;
  /** Tokens that targets really generated. */
  readonly spent: number;
  /** Tokens that were paid for. */
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
    : `${grant.slot}${grant.spent}${grant.reserved}${grant.lapsed ? "l" : "o"}`;
  const asked = call === undefined
    ? "-"
    : `${call.kind[0]}${call.slot}${call.spent}${formatWrite(call.write)}`;
  const flags = `${vm.taken}${vm.toppedUp ? "t" : "f"}`;
  return `${flags}${held},${asked},${formatWrite(vm.late)}`;
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
