/**
 * Model of a control duty that is held by a lease. Two VMs give orders to a
 * target that refuses older fencing tokens and to one that ignores tokens.
 *
 * Time is counted in ticks, and the monotonic clocks of both VMs run at the
 * same rate. An order to the ignoring target takes effect within
 * `MAX_ORDER_TIME` ticks after it was sent, or never; an order to the checking
 * target may take any time. For the ignoring target, reading the clock and
 * sending the order are one step: its safety relies on this assumption.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/** Length of a lease in ticks. */
const LEASE = 2;

/** Maximum time from sending an order to its effect, in ticks. */
const MAX_ORDER_TIME = 1;

/**
 * Upper bound of the ages that a state records, in ticks. Higher ages make no
 * difference and are recorded as this one, which keeps the state space finite.
 */
const MAX_AGE = LEASE + 1;

/** Remaining ticks of a deadline that has passed. */
const EXPIRED = -1;

/** Maximum number of fencing tokens that are issued. */
const MAX_TOKEN = 2;

/** Maximum number of crashes of both VMs together. */
const MAX_CRASHES = 1;

const NAMES = ["A", "B"] as const;

/** How a target treats fencing tokens. */
enum TargetKind {
  Checking = "checking",
  Ignoring = "ignoring",
}

/**
 * A write of the lease row that is in progress or whose answer is in transit.
 */
interface LeaseWrite {
  /** Row version that the write was decided from. */
  readonly base: number;
  /** Ticks since it was sent. */
  readonly age: number;
  /** Fencing token that the write obtained; 0 until it is committed. */
  readonly token: number;
}

interface Vm {
  /** Fencing token of the lease that the VM holds; 0 for none. */
  readonly token: number;
  /** Ticks until the lease's deadline; {@link EXPIRED} when it has passed. */
  readonly remaining: number;
  /** Ticks until the VM may give orders to the ignoring target. */
  readonly fencingWait: number;
  /** Version of the lease row that the VM last read. */
  readonly observedVersion: number;
  /** Ticks since the VM first read that version. */
  readonly observedFor: number;
  readonly write?: LeaseWrite;
}

/** An order that was sent and has not taken effect yet. */
interface Order {
  readonly target: TargetKind;
  readonly token: number;
  /**
   * Ticks during which the order can still take effect at an ignoring target.
   */
  readonly remaining: number;
}

/** A state of the leases model. */
export interface LeasesState {
  /** Version of the lease row, which is also the newest fencing token. */
  readonly token: number;
  readonly vms: readonly Vm[];
  readonly orders: readonly Order[];
  /** Newest fencing token of the orders that took effect at each target. */
  readonly newest: Readonly<Record<TargetKind, number>>;
  /** Whether an older order took effect after a newer one. */
  readonly wasOutOfOrder: boolean;
  readonly crashes: number;
}

type LeasesStep = Step<LeasesState>;

const NEW_VM: Vm = {
  token: 0,
  remaining: EXPIRED,
  fencingWait: 0,
  observedVersion: 0,
  observedFor: 0,
};

function changeVm(
  state: LeasesState,
  index: number,
  change: { readonly [Key in keyof Vm]?: Vm[Key] | undefined },
): LeasesState {
  const vms = state.vms.map((vm, each) =>
    each === index ? { ...vm, ...change } as Vm : vm
  );
  return { ...state, vms };
}

/**
 * Advances time by one tick and drops orders that can no longer take effect.
 */
function createTick(state: LeasesState): LeasesStep {
  const orders = state.orders
    .map((order) =>
      order.target === TargetKind.Checking
        ? order
        : { ...order, remaining: order.remaining - 1 }
    )
    .filter((order) => order.remaining >= 0);
  return {
    label: "tick",
    next: { ...state, orders, vms: state.vms.map(applyTick) },
  };
}

function applyTick(vm: Vm): Vm {
  const aged = {
    ...vm,
    remaining: Math.max(EXPIRED, vm.remaining - 1),
    fencingWait: Math.max(0, vm.fencingWait - 1),
    observedFor: Math.min(MAX_AGE, vm.observedFor + 1),
  };
  if (vm.write === undefined) return aged;
  const age = Math.min(MAX_AGE, vm.write.age + 1);
  return { ...aged, write: { ...vm.write, age } };
}

function listLeaseSteps(
  state: LeasesState,
  index: number,
  isOn: GuardCheck,
): LeasesStep[] {
  const vm = state.vms[index]!;
  const name = NAMES[index]!;
  const steps: LeasesStep[] = [];
  if (vm.observedVersion !== state.token) {
    const next = changeVm(state, index, {
      observedVersion: state.token,
      observedFor: 0,
    });
    steps.push({ label: `${name} reads the lease row`, next });
  }
  if (vm.write === undefined && isTakeAllowed(vm, isOn)) {
    const write = { base: vm.observedVersion, age: 0, token: 0 };
    const next = changeVm(state, index, { write });
    steps.push({ label: `${name} take lease: sent`, next });
  }
  return [...steps, ...listAnswers(state, index, isOn)];
}

/**
 * Returns whether a VM may try to take the lease. Another VM's lease must have
 * been observed unchanged for its full length.
 */
function isTakeAllowed(vm: Vm, isOn: GuardCheck): boolean {
  if (vm.token === vm.observedVersion && vm.token > 0) return false;
  if (vm.observedVersion === 0 || !isOn(Guard.LeaseObservedWhole)) return true;
  return vm.observedFor > LEASE;
}

function listAnswers(
  state: LeasesState,
  index: number,
  isOn: GuardCheck,
): LeasesStep[] {
  const { write } = state.vms[index]!;
  const name = `${NAMES[index]} take lease`;
  if (write === undefined) return [];
  if (write.token > 0) {
    const next = receiveLease(state, index, isOn);
    return [{ label: `${name}: answer arrives`, next }];
  }
  const conflict = write.base !== state.token;
  if (conflict && isOn(Guard.VersionCheck)) {
    const next = changeVm(state, index, { write: undefined });
    return [{ label: `${name}: conflict`, next }];
  }
  if (state.token >= MAX_TOKEN && !conflict) return [];
  const token = conflict ? state.token : state.token + 1;
  const committed = changeVm(state, index, { write: { ...write, token } });
  return [{ label: `${name}: committed`, next: { ...committed, token } }];
}

function receiveLease(
  state: LeasesState,
  index: number,
  isOn: GuardCheck,
): LeasesState {
  const { token, age } = state.vms[index]!.write!;
  const used = isOn(Guard.LeaseFromSend) ? age : 0;
  const waits = isOn(Guard.FencingWait) && token > 1;
  return changeVm(state, index, {
    token,
    remaining: Math.max(EXPIRED, LEASE - used),
    fencingWait: waits ? MAX_ORDER_TIME + 1 : 0,
    observedVersion: token,
    observedFor: 0,
    write: undefined,
  });
}

function listOrderSteps(
  state: LeasesState,
  index: number,
  isOn: GuardCheck,
): LeasesStep[] {
  const { token, remaining, fencingWait } = state.vms[index]!;
  if (token === 0) return [];
  const inLease = remaining >= 0 || !isOn(Guard.LeaseDeadlineChecked);
  const targets = [
    // This target refuses a late order by its token, so no deadline is checked.
    TargetKind.Checking,
    ...(inLease && fencingWait === 0 ? [TargetKind.Ignoring] : []),
  ];
  return targets.flatMap((target) => {
    const order = { target, token, remaining: MAX_ORDER_TIME };
    const known = state.orders.some((each) =>
      each.target === target && each.token === token
    );
    if (known) return [];
    const next = { ...state, orders: [...state.orders, order] };
    return [{
      label: `${NAMES[index]} orders ${target}, token ${token}`,
      next,
    }];
  });
}

/**
 * Lists the effects of the orders in transit. An order with an older token is
 * refused by a checking target, or takes effect out of order elsewhere.
 */
function listEffects(state: LeasesState, isOn: GuardCheck): LeasesStep[] {
  return state.orders.map((order) => {
    const orders = state.orders.filter((each) => each !== order);
    const newest = state.newest[order.target];
    const refused = order.target === TargetKind.Checking &&
      isOn(Guard.FencingToken) && order.token < newest;
    const label = `order to ${order.target}, token ${order.token}, ` +
      (refused ? "is refused" : "takes effect");
    if (refused) return { label, next: { ...state, orders } };
    const tokens = {
      ...state.newest,
      [order.target]: Math.max(newest, order.token),
    };
    const wasOutOfOrder = state.wasOutOfOrder || order.token < newest;
    return { label, next: { ...state, orders, newest: tokens, wasOutOfOrder } };
  });
}

function listCrashes(state: LeasesState): LeasesStep[] {
  if (state.crashes >= MAX_CRASHES) return [];
  return NAMES.map((name, index) => {
    const vms = state.vms.map((vm, each) => each === index ? NEW_VM : vm);
    const next = { ...state, vms, crashes: state.crashes + 1 };
    return { label: `${name} crash`, next };
  });
}

function formatVm(vm: Vm): string {
  const write = vm.write === undefined
    ? ""
    : `${vm.write.base}${vm.write.age}${vm.write.token}`;
  return `${vm.token}${vm.remaining}${vm.fencingWait}${vm.observedVersion}${vm.observedFor},${write}`;
}

function formatOrder(order: Order): string {
  return `${order.target[0]}${order.token}${order.remaining}`;
}

/** Model of leases with fencing tokens. */
export const LEASES: Specification<LeasesState> = {
  name: "leases",
  scope:
    "2 VMs, 2 leases of 2 ticks, orders of at most 1 tick to the ignoring target, any number of ticks, 1 crash, equal clock rates",
  guards: [
    Guard.VersionCheck,
    Guard.LeaseDeadlineChecked,
    Guard.LeaseFromSend,
    Guard.LeaseObservedWhole,
    Guard.FencingToken,
    Guard.FencingWait,
  ],
  invariants: [Invariant.OrdersNeverGoBack, Invariant.OneHolderPerToken],
  createInitial: () => ({
    token: 0,
    vms: NAMES.map(() => NEW_VM),
    orders: [],
    newest: { [TargetKind.Checking]: 0, [TargetKind.Ignoring]: 0 },
    wasOutOfOrder: false,
    crashes: 0,
  }),
  listSteps: (state, isOn) => [
    createTick(state),
    ...NAMES.flatMap((_name, index) => [
      ...listLeaseSteps(state, index, isOn),
      ...listOrderSteps(state, index, isOn),
    ]),
    ...listEffects(state, isOn),
    ...listCrashes(state),
  ],
  findViolation: (state) => {
    if (state.wasOutOfOrder) return Invariant.OrdersNeverGoBack;
    const [first, second] = state.vms;
    const shared = first!.token > 0 && first!.token === second!.token;
    return shared ? Invariant.OneHolderPerToken : undefined;
  },
  formatState: (state) => {
    const vms = state.vms.map(formatVm).join(";");
    const orders = state.orders.map(formatOrder).sort().join(",");
    const { checking, ignoring } = state.newest;
    return `${state.token}|${vms}|${orders}|${checking}${ignoring}` +
      `${state.wasOutOfOrder ? "b" : "-"}${state.crashes}`;
  },
};
