/**
 * Model of standby tokens of one VM over several incarnations. An incarnation
 * takes the one token, may use it after a delay in which it sent no presence
 * update, and loses it when it is killed. The next incarnation releases the
 * token if the last presence update of the previous one proves that it was not
 * used. Standby tokens that are unlocked step by step correspond to several
 * such tokens with different delays.
 *
 * Time is counted in ticks, and the clocks of the VM and the store run at the
 * same rate. A presence update may arrive at any time after it was sent, also
 * after its incarnation has ended, and its answer may be lost.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/**
 * Number of ticks without a presence update after which the token may be used.
 */
const DELAY = 2;

/** Number of ticks that are explored. */
const MAX_TIME = 6;

/** Number of incarnations that are explored. */
const MAX_INCARNATIONS = 2;

/** A presence update in transit to the store. */
interface PresenceUpdate {
  readonly incarnation: number;
  readonly sentAt: number;
  /** Version of the presence row that it replaces. */
  readonly base: number;
  /** Whether it states that the token is in use. */
  readonly reportsUse: boolean;
}

/** Contents of the store: the presence row and the standby token. */
interface StoreState {
  /** Version of the presence row; 0 before the first update. */
  readonly version: number;
  /** Incarnation that sent the last presence update; 0 before the first. */
  readonly incarnation: number;
  /** Time at which the last presence update was sent; 0 before the first. */
  readonly presentAt: number;
  /** Whether the last presence update states that the token is in use. */
  readonly reportsUse: boolean;
  /**
   * Incarnation that holds the token on standby; 0 for none, -1 if it counts as
   * spent.
   */
  readonly standbyHolder: number;
}

/** State of the present incarnation of the VM. */
interface VmState {
  readonly incarnation: number;
  readonly holdsToken: boolean;
  readonly hasUsed: boolean;
  /** Whether the use of the token is recorded in the store. */
  readonly isRecorded: boolean;
  /** Time at which the last presence update was sent. */
  readonly lastSent: number;
  /** Time at which the last presence update that was answered was sent. */
  readonly lastAnswered: number;
  /** Known version of the presence row; -1 while an answer is missing. */
  readonly version: number;
}

/** A state of the standby model. */
export interface StandbyState {
  readonly now: number;
  readonly rows: StoreState;
  readonly vm: VmState;
  readonly updates: readonly PresenceUpdate[];
  /** How often the one token was used. */
  readonly used: number;
}

type StandbyStep = Step<StandbyState>;

function changeVm(
  state: StandbyState,
  change: Partial<VmState>,
): StandbyState {
  return { ...state, vm: { ...state.vm, ...change } };
}

function listTicks(state: StandbyState): StandbyStep[] {
  if (state.now >= MAX_TIME) return [];
  return [{ label: "tick", next: { ...state, now: state.now + 1 } }];
}

/** Takes the token if no incarnation holds it. */
function listTakes(state: StandbyState): StandbyStep[] {
  const { rows, vm } = state;
  if (rows.standbyHolder !== 0 || vm.holdsToken || vm.hasUsed) return [];
  // The next incarnation decides by this one's presence updates, so that the
  // store must hold one of them before the token is taken.
  if (rows.incarnation !== vm.incarnation) return [];
  const taken = { ...state, rows: { ...rows, standbyHolder: vm.incarnation } };
  return [{ label: "take", next: changeVm(taken, { holdsToken: true }) }];
}

function listSends(state: StandbyState, isOn: GuardCheck): StandbyStep[] {
  const { vm, now, updates } = state;
  if (vm.version < 0 || vm.lastSent === now) return [];
  const isUnrecorded = vm.hasUsed && !vm.isRecorded;
  const reportsUse = isUnrecorded && isOn(Guard.StandbyNamedInWord);
  const update = {
    incarnation: vm.incarnation,
    sentAt: now,
    base: vm.version,
    reportsUse,
  };
  const sent = { ...state, updates: [...updates, update] };
  const next = changeVm(sent, { lastSent: now, version: -1 });
  return [{ label: `send presence update at ${now}`, next }];
}

/** Presence updates arrive, with or without an answer, or are lost. */
function listArrivals(state: StandbyState): StandbyStep[] {
  return state.updates.flatMap((update, index) => {
    const updates = state.updates.filter((_each, other) => other !== index);
    const dropped = { ...state, updates };
    const label =
      `presence update of ${update.sentAt}, incarnation ${update.incarnation}`;
    const lost = { label: `${label} is lost`, next: dropped };
    if (update.base !== state.rows.version) return [lost];
    const rows = {
      ...state.rows,
      version: state.rows.version + 1,
      incarnation: update.incarnation,
      presentAt: update.sentAt,
      reportsUse: update.reportsUse,
    };
    const arrived = { ...dropped, rows };
    const unanswered = { label: `${label} arrives`, next: arrived };
    if (update.incarnation !== state.vm.incarnation) return [lost, unanswered];
    const answered = changeVm(arrived, {
      version: rows.version,
      lastAnswered: update.sentAt,
    });
    return [
      lost,
      unanswered,
      { label: `${label} arrives and is answered`, next: answered },
    ];
  });
}

/** Reads the presence row again while an answer is missing. */
function listReads(state: StandbyState): StandbyStep[] {
  if (state.vm.version >= 0) return [];
  const next = changeVm(state, { version: state.rows.version });
  return [{ label: "read the row", next }];
}

function listUses(state: StandbyState, isOn: GuardCheck): StandbyStep[] {
  const { vm, now } = state;
  if (!vm.holdsToken || vm.hasUsed) return [];
  const since = isOn(Guard.StandbyCountsFromSend)
    ? vm.lastSent
    : vm.lastAnswered;
  if (now - since < DELAY && isOn(Guard.StandbyWaits)) return [];
  const used = { ...state, used: state.used + 1 };
  return [{
    label: "use the token",
    next: changeVm(used, { hasUsed: true }),
  }];
}

/** Records in the store that the token is in use; it then counts as spent. */
function listRecordings(state: StandbyState): StandbyStep[] {
  const { vm, rows } = state;
  if (!vm.hasUsed || vm.isRecorded || rows.standbyHolder !== vm.incarnation) {
    return [];
  }
  const recorded = { ...state, rows: { ...rows, standbyHolder: -1 } };
  return [{
    label: "record the use in the store",
    next: changeVm(recorded, { isRecorded: true }),
  }];
}

/**
 * Kills the incarnation and starts the next one, which releases the token if
 * the last presence update proves that it was not used.
 */
function listKills(state: StandbyState, isOn: GuardCheck): StandbyStep[] {
  const { vm, rows, now } = state;
  if (vm.incarnation >= MAX_INCARNATIONS) return [];
  const isOwnUpdate = rows.incarnation === vm.incarnation;
  const isRecent = now - rows.presentAt < DELAY ||
    !isOn(Guard.StandbyProofInTime);
  const isReleased = rows.standbyHolder === vm.incarnation && isOwnUpdate &&
    isRecent &&
    !rows.reportsUse;
  const isHeld = rows.standbyHolder === vm.incarnation;
  const standbyHolder = isReleased ? 0 : isHeld ? -1 : rows.standbyHolder;
  const next: StandbyState = {
    ...state,
    rows: { ...rows, standbyHolder },
    vm: {
      incarnation: vm.incarnation + 1,
      holdsToken: false,
      hasUsed: false,
      isRecorded: false,
      lastSent: now,
      lastAnswered: now,
      version: rows.version,
    },
  };
  const outcome = isReleased ? "releases the token" : "releases nothing";
  return [{
    label: `kill; incarnation ${vm.incarnation + 1} ${outcome}`,
    next,
  }];
}

/**
 * Model of standby tokens and of the presence updates that prove them unused.
 */
export const STANDBY: Specification<StandbyState> = {
  name: "standby",
  scope:
    "1 VM, 2 incarnations, 1 token, a delay of 2 ticks, 6 ticks, presence updates that arrive at any time, equal clock rates",
  guards: [
    Guard.StandbyWaits,
    Guard.StandbyCountsFromSend,
    Guard.StandbyNamedInWord,
    Guard.StandbyProofInTime,
  ],
  invariants: [Invariant.NeverOverspent],
  createInitial: () => ({
    now: 0,
    rows: {
      version: 0,
      incarnation: 0,
      presentAt: 0,
      reportsUse: false,
      standbyHolder: 0,
    },
    vm: {
      incarnation: 1,
      holdsToken: false,
      hasUsed: false,
      isRecorded: false,
      lastSent: 0,
      lastAnswered: 0,
      version: 0,
    },
    updates: [],
    used: 0,
  }),
  listSteps: (state, isOn) => [
    ...listTicks(state),
    ...listTakes(state),
    ...listSends(state, isOn),
    ...listArrivals(state),
    ...listReads(state),
    ...listUses(state, isOn),
    ...listRecordings(state),
    ...listKills(state, isOn),
  ],
  findViolation: (state) =>
    state.used > 1 ? Invariant.NeverOverspent : undefined,
  formatState: ({ now, rows, vm, updates, used }) => {
    const flags = [vm.holdsToken, vm.hasUsed, vm.isRecorded].map(Number).join(
      "",
    );
    const sent = updates
      .map((update) =>
        `${update.incarnation}${update.sentAt}${update.base}${+update
          .reportsUse}`
      )
      .sort().join(",");
    return `${now}|${rows.version}.${rows.incarnation}.${rows.presentAt}.${+rows
      .reportsUse}.${rows.standbyHolder}|` +
      `${vm.incarnation}.${flags}.${vm.lastSent}.${vm.lastAnswered}.${vm.version}|${sent}|${used}`;
  },
};
