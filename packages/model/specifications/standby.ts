/**
 * Model of standby tokens of one VM over several incarnations. An incarnation
 * takes the one token, may use it after a delay in which it sent no presence
 * update, and loses it when it is killed. The next incarnation releases the token
 * if the last presence update of the previous one proves that it was not used.
 * Standby tokens that are unlocked step by step correspond to several such tokens
 * with different delays.
 *
 * Time is counted in ticks, and the clocks of the VM and the store run at the
 * same rate. A presence update may arrive at any time after it was sent, also
 * after its incarnation has ended, and its answer may be lost.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/** Number of ticks without a presence update after which the token may be used. */
const DELAY = 2;

/** Number of ticks that are explored. */
const MAX_TIME = 6;

/** Number of incarnations that are explored. */
const MAX_LIVES = 2;

/** A presence update in transit to the store. */
interface Word {
  readonly life: number;
  readonly sentAt: number;
  /** Version of the presence row that it replaces. */
  readonly base: number;
  /** Whether it states that the token is in use. */
  readonly isNamed: boolean;
}

/** Contents of the store: the presence row and the standby token. */
interface Rows {
  /** Version of the presence row; 0 before the first update. */
  readonly version: number;
  /** Incarnation that sent the last presence update; 0 before the first. */
  readonly life: number;
  /** Time at which the last presence update was sent; 0 before the first. */
  readonly presentAt: number;
  /** Whether the last presence update states that the token is in use. */
  readonly isNamed: boolean;
  /** Incarnation that holds the token on standby; 0 for none, -1 if it counts as spent. */
  readonly standby: number;
}

/** State of the present incarnation of the VM. */
interface Life {
  readonly life: number;
  readonly holds: boolean;
  readonly hasUsed: boolean;
  /** Whether the use of the token is recorded in the store. */
  readonly isTold: boolean;
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
  readonly rows: Rows;
  readonly vm: Life;
  readonly words: readonly Word[];
  /** How often the one token was used. */
  readonly used: number;
}

type StandbyStep = Step<StandbyState>;

function changeLife(
  state: StandbyState,
  change: Partial<Life>,
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
  if (rows.standby !== 0 || vm.holds || vm.hasUsed) return [];
  // The next incarnation can only decide by a presence update of this one.
  if (rows.life !== vm.life) return [];
  const taken = { ...state, rows: { ...rows, standby: vm.life } };
  return [{ label: "take", next: changeLife(taken, { holds: true }) }];
}

function listSends(state: StandbyState, isOn: GuardCheck): StandbyStep[] {
  const { vm, now, words } = state;
  if (vm.version < 0 || vm.lastSent === now) return [];
  const isUntold = vm.hasUsed && !vm.isTold;
  const isNamed = isUntold && isOn(Guard.StandbyNamedInWord);
  const word = { life: vm.life, sentAt: now, base: vm.version, isNamed };
  const sent = { ...state, words: [...words, word] };
  const next = changeLife(sent, { lastSent: now, version: -1 });
  return [{ label: `send presence update at ${now}`, next }];
}

/** Presence updates arrive, with or without an answer, or are lost. */
function listArrivals(state: StandbyState): StandbyStep[] {
  return state.words.flatMap((word, index) => {
    const words = state.words.filter((_each, other) => other !== index);
    const dropped = { ...state, words };
    const label = `presence update of ${word.sentAt}, incarnation ${word.life}`;
    const lost = { label: `${label} is lost`, next: dropped };
    if (word.base !== state.rows.version) return [lost];
    const rows = {
      ...state.rows,
      version: state.rows.version + 1,
      life: word.life,
      presentAt: word.sentAt,
      isNamed: word.isNamed,
    };
    const arrived = { ...dropped, rows };
    const unanswered = { label: `${label} arrives`, next: arrived };
    if (word.life !== state.vm.life) return [lost, unanswered];
    const answered = changeLife(arrived, {
      version: rows.version,
      lastAnswered: word.sentAt,
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
  const next = changeLife(state, { version: state.rows.version });
  return [{ label: "read the row", next }];
}

function listUses(state: StandbyState, isOn: GuardCheck): StandbyStep[] {
  const { vm, now } = state;
  if (!vm.holds || vm.hasUsed) return [];
  const since = isOn(Guard.StandbyCountsFromSend)
    ? vm.lastSent
    : vm.lastAnswered;
  if (now - since < DELAY && isOn(Guard.StandbyWaits)) return [];
  const used = { ...state, used: state.used + 1 };
  return [{
    label: "use the token",
    next: changeLife(used, { hasUsed: true }),
  }];
}

/** Records in the store that the token is in use; it then counts as spent. */
function listTellings(state: StandbyState): StandbyStep[] {
  const { vm, rows } = state;
  if (!vm.hasUsed || vm.isTold || rows.standby !== vm.life) return [];
  const told = { ...state, rows: { ...rows, standby: -1 } };
  return [{
    label: "record the use in the store",
    next: changeLife(told, { isTold: true }),
  }];
}

/**
 * Kills the incarnation and starts the next one, which releases the token if the
 * last presence update proves that it was not used.
 */
function listKills(state: StandbyState, isOn: GuardCheck): StandbyStep[] {
  const { vm, rows, now } = state;
  if (vm.life >= MAX_LIVES) return [];
  const isOwnWord = rows.life === vm.life;
  const isRecent = now - rows.presentAt < DELAY ||
    !isOn(Guard.StandbyProofInTime);
  const isFreed = rows.standby === vm.life && isOwnWord && isRecent &&
    !rows.isNamed;
  const isHeld = rows.standby === vm.life;
  const standby = isFreed ? 0 : isHeld ? -1 : rows.standby;
  const next: StandbyState = {
    ...state,
    rows: { ...rows, standby },
    vm: {
      life: vm.life + 1,
      holds: false,
      hasUsed: false,
      isTold: false,
      lastSent: now,
      lastAnswered: now,
      version: rows.version,
    },
  };
  const outcome = isFreed ? "releases the token" : "releases nothing";
  return [{ label: `kill; incarnation ${vm.life + 1} ${outcome}`, next }];
}

/** Model of standby tokens and of the presence updates that prove them unused. */
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
    rows: { version: 0, life: 0, presentAt: 0, isNamed: false, standby: 0 },
    vm: {
      life: 1,
      holds: false,
      hasUsed: false,
      isTold: false,
      lastSent: 0,
      lastAnswered: 0,
      version: 0,
    },
    words: [],
    used: 0,
  }),
  listSteps: (state, isOn) => [
    ...listTicks(state),
    ...listTakes(state),
    ...listSends(state, isOn),
    ...listArrivals(state),
    ...listReads(state),
    ...listUses(state, isOn),
    ...listTellings(state),
    ...listKills(state, isOn),
  ],
  findViolation: (state) =>
    state.used > 1 ? Invariant.NeverOverspent : undefined,
  formatState: ({ now, rows, vm, words, used }) => {
    const flags = [vm.holds, vm.hasUsed, vm.isTold].map(Number).join("");
    const sent = words
      .map((word) => `${word.life}${word.sentAt}${word.base}${+word.isNamed}`)
      .sort().join(",");
    return `${now}|${rows.version}.${rows.life}.${rows.presentAt}.${+rows
      .isNamed}.${rows.standby}|` +
      `${vm.life}.${flags}.${vm.lastSent}.${vm.lastAnswered}.${vm.version}|${sent}|${used}`;
  },
};
