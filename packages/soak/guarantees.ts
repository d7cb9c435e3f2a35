/**
 * The guarantees of the fleet, checked on the records of a soak run: what
 * callers received and what targets ran. The checks are pure functions, so that
 * tests can feed each one records that violate it.
 */
import { type Millis, MILLIS_PER_SECOND, type Tokens } from "../core/mod.ts";
import {
  checkDenied,
  type CheckedCalls,
  checkInForce,
  checkNoRollback,
  type ConfigurationRecords,
  listProperCalls,
} from "./configuration_effects.ts";

/** One call as its caller saw it, and how often targets ran it. */
export interface CallRecord {
  readonly id: string;
  readonly vm: string;
  /** Incarnation of the VM's process when the call was sent. */
  readonly incarnation: number;
  readonly route: string;
  readonly customer: string;
  /**
   * Version of the configuration that introduced the caller's key; absent for a
   * key that all configurations hold.
   */
  readonly keyVersion?: number;
  /** Version that added the route; absent for a route of all configurations. */
  readonly routeVersion?: number;
  /** Version of the newest configuration when the call ended. */
  readonly newestVersion: number;
  /** Whether the VM's process was listening, so that the call could be sent. */
  readonly isSent: boolean;
  readonly sentAt: Millis;
  readonly endedAt: Millis;
  /** HTTP status; 0 when there was no answer. */
  readonly status: number;
  /** Whether the answer has the seal that proves that a target made it. */
  readonly isSealed: boolean;
  /** Whether the answer ended as its protocol requires. */
  readonly isComplete: boolean;
  /** Whether the body is exactly the one that a target sends for this call. */
  readonly isExpectedBody: boolean;
  readonly hasRetryAfter: boolean;
  readonly promptTokens: Tokens;
  /** Output tokens that reached the caller. */
  readonly outputTokens: Tokens;
  /** Whether the call takes up a stream that broke off. */
  readonly isTakenUp: boolean;
  /** Releases of the events that reached the caller, over all its calls. */
  readonly releases: readonly string[];
  /** How many times targets started to run the call. */
  readonly runs: number;
  /** Services of the targets that ran it. */
  readonly services: readonly string[];
}

/** A property that every run must have. */
export enum SoakGuarantee {
  /** No customer uses more tokens than it has prepaid. */
  Budget = "budget",
  /** A call whose route forbids a second run runs at most once. */
  AtMostOnce = "at-most-once",
  /** A call that the gateway refuses as not run has not run. */
  RefusedNotRun = "true-refusal",
  /** A complete answer with status 200 is exactly what a target sent. */
  CompleteAnswer = "whole-answer",
  /** A stream holds events of one release, over all calls of its caller. */
  OneRelease = "one-release",
  /** A 503 from the gateway has a Retry-After header. */
  RetryAfter = "retry-after",
  /** A planned stop of a VM interrupts none of its open calls. */
  PlannedStop = "planned-stop",
  /** A process doesn't go back to an older configuration. */
  NoConfigurationRollback = "configuration-stays",
  /** A configuration is in force in time. */
  ConfigurationInForce = "configuration-in-time",
  /** A call that the configurations allow isn't refused as wrong. */
  NotDenied = "not-denied",
  /** Routes that were added are served about as often as the first ones. */
  AddedRoutes = "added-routes",
  /** Every VM serves again after the last fault. */
  Recovery = "recovery",
  /** A target gets no more requests than the limit that it names. */
  TargetLimit = "target-limit",
}

/** Result of checking one guarantee. */
export interface GuaranteeResult {
  readonly guarantee: SoakGuarantee;
  /** Number of calls, customers or VMs that were checked. */
  readonly checked: number;
  /** Descriptions of the calls, customers or VMs that violate it. */
  readonly failures: readonly string[];
}

/** A period in which a target named a limit. */
export interface LimitedPeriod {
  readonly target: string;
  /** Requests per second that it accepts from all VMs together. */
  readonly perSecond: number;
  /** Requests that reached it, in order of time. */
  readonly arrivals: readonly {
    readonly vm: string;
    readonly at: Millis;
    /** When the answer named the limit, if it did. */
    readonly toldAt?: Millis;
  }[];
  /** Times from which VMs were killed, stopped or suspended, and until which. */
  readonly interruptions: readonly VmInterruption[];
}

/** A time in which a VM was killed, stopped or suspended. */
export interface VmInterruption {
  readonly vm: string;
  readonly from: Millis;
  readonly to: Millis;
}

/** Records of one soak run. */
export interface SoakRecords extends ConfigurationRecords {
  readonly calls: readonly CallRecord[];
  /** Prepaid tokens of each customer at the end of the run. */
  readonly prepaid: ReadonlyMap<string, Tokens>;
  /** Planned stops with no other fault shortly before or after them. */
  readonly undisturbedStops: readonly {
    readonly vm: string;
    readonly from: Millis;
    readonly to: Millis;
  }[];
  readonly limitedPeriods: readonly LimitedPeriod[];
  /** When the last fault had ended and every VM had been started. */
  readonly faultsEndedAt: Millis;
}

/** Routes whose calls must not run a second time. */
const ONCE_ROUTES = new Set(["book", "brief"]);

/** Statuses of the gateway that state that a call has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Tokens of a stand-in's complete stream. */
const MAX_OUTPUT_TOKENS: Tokens = 40;

/** Part of the prepaid tokens into which a call that is owed must fit. */
const OWED_SHARE = 0.97;

/** Calls of routes that were added from which on it counts how many are served. */
const MIN_ADDED_CALLS = 20;

/** Share of the first routes' rate of service that is required of added ones. */
const ADDED_ROUTES_SHARE = 0.25;

/** Time after the last fault within which every VM must serve again. */
const RECOVERY_TIME: Millis = 8_000;

/** Span in which requests to a target that names a limit are counted. */
const LIMIT_WINDOW: Millis = 4_000;

/** What a target may get in a span: a multiple of its limit, and some more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** Time from the answer that names a limit until it binds a VM. */
const LIMIT_KNOWN_AFTER: Millis = 500;

/** Time after an interruption in which a VM is not bound. */
const INTERRUPTION_MARGIN: Millis = 4_000;

/** Checks every guarantee on the records of a run. */
export function checkGuarantees(records: SoakRecords): GuaranteeResult[] {
  const { calls } = records;
  return [
    checkBudgets(records),
    checkCalls(SoakGuarantee.AtMostOnce, calls, {
      applies: (call) => ONCE_ROUTES.has(call.route),
      holds: (call) => call.runs <= 1,
    }),
    checkCalls(SoakGuarantee.RefusedNotRun, calls, {
      applies: (call) => NOT_RUN_STATUSES.has(call.status) && !call.isSealed,
      holds: (call) => call.runs === 0,
    }),
    checkCalls(SoakGuarantee.CompleteAnswer, calls, {
      applies: (call) => call.status === 200 && call.isComplete,
      holds: (call) => call.isSealed && call.isExpectedBody && call.runs > 0,
    }),
    checkCalls(SoakGuarantee.OneRelease, calls, {
      applies: (call) => call.releases.length > 0,
      holds: (call) => call.releases.length === 1,
    }),
    checkCalls(SoakGuarantee.RetryAfter, calls, {
      applies: (call) => call.status === 503 && !call.isSealed,
      holds: (call) => call.hasRetryAfter,
    }),
    checkPlannedStops(records),
    describeChecked(
      SoakGuarantee.NoConfigurationRollback,
      checkNoRollback(calls),
    ),
    describeChecked(SoakGuarantee.ConfigurationInForce, checkInForce(records)),
    checkNotDenied(records),
    checkAddedRoutes(records),
    checkRecovery(records),
    checkLimits(records.limitedPeriods),
  ];
}

/** Checks that `holds` is true of each call that `applies` selects. */
function checkCalls(
  guarantee: SoakGuarantee,
  calls: readonly CallRecord[],
  check: {
    readonly applies: (call: CallRecord) => boolean;
    readonly holds: (call: CallRecord) => boolean;
  },
): GuaranteeResult {
  const checked = calls.filter(check.applies);
  const failures = checked.filter((call) => !check.holds(call))
    .map(describeCall);
  return { guarantee, checked: checked.length, failures };
}

/**
 * Checks that no customer used more than its prepaid tokens. The prompt counts
 * once for each call that ran; output counts as far as it reached the caller.
 */
function checkBudgets(records: SoakRecords): GuaranteeResult {
  const spent = new Map<string, Tokens>();
  for (const call of records.calls) {
    const prompt = call.runs > 0 ? call.promptTokens : 0;
    const before = spent.get(call.customer) ?? 0;
    spent.set(call.customer, before + prompt + call.outputTokens);
  }
  const failures = [...records.prepaid].flatMap(([customer, prepaid]) => {
    const used = spent.get(customer) ?? 0;
    return used <= prepaid ? [] : [`${customer}: ${used} of ${prepaid}`];
  });
  return {
    guarantee: SoakGuarantee.Budget,
    checked: records.prepaid.size,
    failures,
  };
}

/**
 * Checks that no call is refused as wrong, with 402 only if the calls of its
 * customer don't fit, at their most, into the owed part of its prepaid tokens.
 */
function checkNotDenied(records: SoakRecords): GuaranteeResult {
  const most = new Map<string, Tokens>();
  for (const { customer, promptTokens } of records.calls) {
    const tokens = promptTokens > 0 ? promptTokens + MAX_OUTPUT_TOKENS : 0;
    most.set(customer, (most.get(customer) ?? 0) + tokens);
  }
  const isSpent = ({ customer, status, promptTokens }: CallRecord) =>
    status === 402 && promptTokens > 0 &&
    most.get(customer)! > OWED_SHARE * (records.prepaid.get(customer) ?? 0);
  return describeChecked(
    SoakGuarantee.NotDenied,
    checkDenied(records, isSpent),
  );
}

/**
 * Checks that VMs in touch serve calls of plain services on routes that were
 * added later not much less often than those on routes of all configurations.
 */
function checkAddedRoutes(records: SoakRecords): GuaranteeResult {
  const calls = listProperCalls(records)
    .filter(({ isSent, promptTokens }) => isSent && promptTokens === 0);
  const added = calls.filter(({ routeVersion = 0 }) => routeVersion > 1);
  const first = calls.filter((call) => call.routeVersion === undefined);
  const required = ADDED_ROUTES_SHARE * computeServedShare(first);
  const served = computeServedShare(added);
  const holds = added.length < MIN_ADDED_CALLS || served >= required;
  return {
    guarantee: SoakGuarantee.AddedRoutes,
    checked: added.length,
    failures: holds ? [] : [
      `${served.toFixed(2)} of the calls served, not ${required.toFixed(2)}`,
    ],
  };
}

function computeServedShare(calls: readonly CallRecord[]): number {
  const served = calls.filter(({ status }) => status === 200);
  return served.length / Math.max(1, calls.length);
}

/** Checks that calls open at a planned stop end with a complete answer. */
function checkPlannedStops(records: SoakRecords): GuaranteeResult {
  const wasOpenAtStop = (call: CallRecord) =>
    records.undisturbedStops.some(({ vm, from, to }) =>
      call.vm === vm && call.sentAt < from && call.endedAt > from &&
      call.endedAt <= to
    );
  return checkCalls(SoakGuarantee.PlannedStop, records.calls, {
    applies: wasOpenAtStop,
    holds: (call) => call.status !== 0 && call.isComplete,
  });
}

function describeChecked(
  guarantee: SoakGuarantee,
  { checked, failed }: CheckedCalls,
): GuaranteeResult {
  return { guarantee, checked, failures: failed.map(describeCall) };
}

/**
 * Checks that every VM which was called after the recovery time answered at
 * least one of these calls with 200.
 */
function checkRecovery(records: SoakRecords): GuaranteeResult {
  const callsAfterRecovery = records.calls
    .filter((call) => call.sentAt > records.faultsEndedAt + RECOVERY_TIME);
  const vms = new Set(callsAfterRecovery.map((call) => call.vm));
  const served = new Set(
    callsAfterRecovery.filter((call) => call.status === 200).map((call) =>
      call.vm
    ),
  );
  const failures = [...vms].filter((vm) => !served.has(vm))
    .map((vm) => `${vm} answered no call with 200 after the recovery time`);
  return { guarantee: SoakGuarantee.Recovery, checked: vms.size, failures };
}

/**
 * Checks how many requests each target got in each span, from VMs that had an
 * answer with the limit before.
 */
function checkLimits(periods: readonly LimitedPeriod[]): GuaranteeResult {
  const failures = periods.flatMap((period) => {
    const { target, perSecond, arrivals } = period;
    const counted = arrivals.filter((arrival) => isBound(arrival, period))
      .map(({ at }) => at);
    const most = Math.max(
      0,
      ...counted.map((from) =>
        counted.filter((at) => at >= from && at < from + LIMIT_WINDOW).length
      ),
    );
    const allowed = LIMIT_FACTOR * perSecond * LIMIT_WINDOW /
        MILLIS_PER_SECOND + LIMIT_SLACK;
    return most <= allowed
      ? []
      : [`${target}: ${most} requests at ${perSecond} a second`];
  });
  return {
    guarantee: SoakGuarantee.TargetLimit,
    checked: periods.length,
    failures,
  };
}

/** Whether the VM that sent a request knew of the limit and was not excused. */
function isBound(
  { vm, at }: { readonly vm: string; readonly at: Millis },
  { arrivals, interruptions }: LimitedPeriod,
): boolean {
  const earlier = interruptions.filter((each) =>
    each.vm === vm && each.from <= at
  );
  const boundFrom = Math.max(
    -Infinity,
    ...earlier.map(({ to }) => to + INTERRUPTION_MARGIN),
  );
  return at >= boundFrom &&
    arrivals.some(({ vm: told, toldAt = Infinity }) =>
      told === vm && toldAt >= boundFrom - INTERRUPTION_MARGIN &&
      toldAt + LIMIT_KNOWN_AFTER <= at
    );
}

function describeCall(call: CallRecord): string {
  const { keyVersion = "that stays", services } = call;
  return `${call.id} (${call.route}) at ${call.vm}/${call.incarnation}, ` +
    `${Math.round(call.sentAt)} to ${Math.round(call.endedAt)} ms: ` +
    `status ${call.status}, runs ${call.runs} (${services.join()}), ` +
    `complete ${call.isComplete}, key ${keyVersion}, ` +
    `newest configuration ${call.newestVersion}`;
}
