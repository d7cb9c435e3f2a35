/**
 * What the fleet promises, checked on records of what callers and targets saw.
 * Pure, so that each check is tested with records that break it.
 */
import type { Millis, Tokens } from "../core/mod.ts";

/** What one caller saw of one call, and what targets did with it. */
export interface CallRecord {
  readonly id: string;
  readonly vm: string;
  /** Life of the VM's process when the call was sent. */
  readonly incarnation: number;
  readonly route: string;
  readonly customer: string;
  /** Number of the configuration that brought the caller's key. */
  readonly keyVersion: number;
  /** Number of the newest configuration when the call ended. */
  readonly newestVersion: number;
  readonly sentAt: Millis;
  readonly endedAt: Millis;
  /** 0 when there was no answer. */
  readonly status: number;
  readonly isSealed: boolean;
  readonly isComplete: boolean;
  readonly isExpectedBody: boolean;
  readonly hasRetryAfter: boolean;
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
  /** Times that a target began to run it. */
  readonly runs: number;
}

/** What is promised. */
export enum SoakGuarantee {
  Budget = "budget",
  AtMostOnce = "at-most-once",
  RefusedNotRun = "true-refusal",
  CompleteAnswer = "whole-answer",
  RetryAfter = "retry-after",
  PlannedStop = "planned-stop",
  NoConfigurationRollback = "configuration-stays",
  Recovery = "recovery",
}

/** How often a promise was checked, and what broke it. */
export interface GuaranteeResult {
  readonly guarantee: SoakGuarantee;
  readonly checked: number;
  readonly failures: readonly string[];
}

/** Everything that one run has recorded. */
export interface SoakRecords {
  readonly calls: readonly CallRecord[];
  /** The last prepaid figure of each customer. */
  readonly prepaid: ReadonlyMap<string, Tokens>;
  /** Planned stops without any other fault from a while before to their end. */
  readonly undisturbedStops: readonly {
    readonly vm: string;
    readonly from: Millis;
    readonly to: Millis;
  }[];
  /** When the last fault was over and all VMs ran. */
  readonly faultsEndedAt: Millis;
}

/** Routes whose calls may run only once. */
const ONCE_ROUTES = new Set(["book", "brief"]);

/** Statuses that promise that a call has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Time after the last fault by when every VM serves again. */
const RECOVERY_TIME: Millis = 8_000;

/** Checks every promise. */
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
    checkCalls(SoakGuarantee.RetryAfter, calls, {
      applies: (call) => call.status === 503 && !call.isSealed,
      holds: (call) => call.hasRetryAfter,
    }),
    checkPlannedStops(records),
    checkConfigurations(calls),
    checkRecovery(records),
  ];
}

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

/** Prompt tokens count once for each call that ran, output as it arrived. */
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

/** A stop as planned cuts nothing off that the VM had taken. */
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

/**
 * A process that has accepted a key accepts it as long as it is valid: a key
 * comes with the configuration of its number and goes with the second after it.
 */
function checkConfigurations(calls: readonly CallRecord[]): GuaranteeResult {
  const accepted = new Map<string, { version: number; acceptedAt: Millis }>();
  const failures: string[] = [];
  let checked = 0;
  for (const call of calls.toSorted((a, b) => a.endedAt - b.endedAt)) {
    const process = `${call.vm}/${call.incarnation}`;
    const lastAccepted = accepted.get(process);
    const isSentLater = lastAccepted !== undefined &&
      call.sentAt > lastAccepted.acceptedAt;
    if (call.status === 401) {
      checked++;
      const wasAccepted = isSentLater &&
        call.keyVersion === lastAccepted.version;
      if (wasAccepted && call.newestVersion < call.keyVersion + 2) {
        failures.push(describeCall(call));
      }
    } else if (
      call.status === 200 && call.keyVersion > (lastAccepted?.version ?? -1)
    ) {
      accepted.set(process, {
        version: call.keyVersion,
        acceptedAt: call.endedAt,
      });
    }
  }
  return {
    guarantee: SoakGuarantee.NoConfigurationRollback,
    checked,
    failures,
  };
}

/** After the last fault every VM serves again. */
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
    .map((vm) => `${vm} served nothing after its recovery`);
  return { guarantee: SoakGuarantee.Recovery, checked: vms.size, failures };
}

function describeCall(call: CallRecord): string {
  return `${call.id} (${call.route}) at ${call.vm}/${call.incarnation}, ` +
    `${Math.round(call.sentAt)} to ${Math.round(call.endedAt)} ms: ` +
    `status ${call.status}, runs ${call.runs}, whole ${call.isComplete}`;
}
