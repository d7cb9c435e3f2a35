/**
 * Compares how calls were handled with the configurations that may have been in
 * force: where targets ran a call, and how a gateway refused it. The bounds are
 * the stated ones of the smallest deployment.
 */
import type { Millis } from "../core/mod.ts";
import type { CallRecord } from "./guarantees.ts";

/** A configuration of the operator, and when the store acknowledged it. */
export interface AcknowledgedVersion {
  readonly version: number;
  readonly at: Millis;
}

/** How a disruption changes the time in which configurations must be in force. */
export enum DisruptionEffect {
  /** VMs are out of touch: no time is required of them. */
  OutOfTouch = "out-of-touch",
  /** The store answers but is unstable: they get more time. */
  Unstable = "unstable",
}

/** A time in which VMs, or their store, were disrupted. */
export interface Disruption {
  readonly effect: DisruptionEffect;
  /** Names of the VMs. */
  readonly vms: readonly string[];
  readonly from: Millis;
  readonly to: Millis;
}

/** Calls that a check looked at, and those that failed it. */
export interface CheckedCalls {
  readonly checked: number;
  readonly failed: readonly CallRecord[];
}

/** What the checks compare. */
export interface ConfigurationRecords {
  readonly calls: readonly CallRecord[];
  /** In order of their versions. */
  readonly acknowledged: readonly AcknowledgedVersion[];
  readonly disruptions: readonly Disruption[];
}

/** One way in which a call was handled: a service ran it, or it was refused. */
type Handling = { readonly service: string } | { readonly status: number };

/** Time after its acknowledgement in which a configuration must be in force. */
const CONFIGURATION_TIME: Millis = 3_000;

/** Time that VMs get besides while their store is unstable. */
const UNSTABLE_TIME: Millis = 6_000;

/** Time after a disruption from which VMs are in touch again. */
const CONTACT_TIME: Millis = 4_000;

/** Stands for a process that has no configuration yet. */
const NO_VERSION = 0;

const FIRST_VERSION = 1;

/** Statuses by which a gateway refuses what its configuration doesn't allow. */
const REFUSAL_STATUSES = new Set([401, 403, 404]);

/** Statuses of a gateway, below 500, that callers may come back after. */
const REPEATABLE_STATUSES = new Set([408, 421, 429]);

/** Returns the versions whose keys a configuration holds. */
export function listKeyVersions(version: number): number[] {
  return [version, version - 1];
}

/**
 * Returns the service of a route that was added by one configuration and moved
 * to another service by the next; undefined if there is no such route yet.
 */
export function findService(
  version: number,
  routeVersion: number,
): string | undefined {
  if (version < routeVersion) return undefined;
  return version === routeVersion ? "app" : "spare";
}

/**
 * Checks that no VM in touch handles a call as only versions allow that should
 * have been replaced when it was sent.
 */
export function checkInForce(records: ConfigurationRecords): CheckedCalls {
  return checkHandlings(records, (call) => {
    const due = computeDueVersion(call, records);
    if (due === undefined) return undefined;
    return { handlings: listHandlings(call), from: due };
  });
}

/**
 * Checks that no call is refused as wrong which all configurations allow that
 * may be in force; at a VM that isn't in touch, those are all so far.
 */
export function checkDenied(
  records: ConfigurationRecords,
  isSpent: (call: CallRecord) => boolean,
): CheckedCalls {
  return checkHandlings(records, (call) => {
    const { status } = call;
    const isDenied = status >= 300 && status < 500 &&
      !REPEATABLE_STATUSES.has(status) && !isSpent(call);
    return {
      handlings: isDenied ? [{ status }] : [],
      from: computeDueVersion(call, records) ?? FIRST_VERSION,
    };
  });
}

/**
 * Checks that no process handles a call as only versions allow that are older
 * than one whose effect a target saw before the call was sent.
 */
export function checkNoRollback(calls: readonly CallRecord[]): CheckedCalls {
  const effects = new Map<string, AcknowledgedVersion[]>();
  for (const call of calls) {
    const process = formatProcess(call);
    const at = call.endedAt;
    const seen = listRuns(call).map((run) => ({
      version: findVersion(call, { handling: run, from: FIRST_VERSION }) ??
        NO_VERSION,
      at,
    }));
    effects.set(process, [...effects.get(process) ?? [], ...seen]);
  }
  const records = { calls, acknowledged: [], disruptions: [] };
  return checkHandlings(records, (call) => {
    const seen = effects.get(formatProcess(call))!
      .filter(({ at }) => at < call.sentAt);
    const versions = seen.map(({ version }) => version);
    return {
      handlings: listHandlings(call),
      from: Math.max(NO_VERSION, ...versions),
    };
  });
}

/**
 * Returns the calls of VMs in touch whose route and key all configurations have
 * that may be in force.
 */
export function listProperCalls(records: ConfigurationRecords): CallRecord[] {
  return records.calls.filter((call) => {
    const due = computeDueVersion(call, records);
    if (due === undefined) return false;
    for (let version = due; version <= call.newestVersion; version++) {
      if (!hasKey(call, version) || !hasRoute(call, version)) return false;
    }
    return true;
  });
}

/** Checks that versions from the chosen one on allow how each call was handled. */
function checkHandlings(
  { calls }: ConfigurationRecords,
  choose: (call: CallRecord) =>
    | { readonly handlings: readonly Handling[]; readonly from: number }
    | undefined,
): CheckedCalls {
  let checked = 0;
  const failed = calls.filter((call) => {
    const { handlings, from } = choose(call) ?? { handlings: [], from: 0 };
    if (handlings.length > 0) checked++;
    return handlings.some((handling) =>
      findVersion(call, { handling, from }) === undefined
    );
  });
  return { checked, failed };
}

/**
 * Returns the version that must be in force at a VM when a call is sent to it;
 * undefined if the VM isn't in touch.
 */
function computeDueVersion(
  call: CallRecord,
  { acknowledged, disruptions }: ConfigurationRecords,
): number | undefined {
  const effects = disruptions
    .filter(({ vms, from, to }) =>
      vms.includes(call.vm) && from <= call.sentAt &&
      call.sentAt <= to + CONTACT_TIME
    )
    .map(({ effect }) => effect);
  if (effects.includes(DisruptionEffect.OutOfTouch)) return undefined;
  const time = CONFIGURATION_TIME + (effects.length > 0 ? UNSTABLE_TIME : 0);
  const due = acknowledged.findLast(({ at }) => at + time < call.sentAt);
  return due?.version ?? FIRST_VERSION;
}

/** Returns the first version, of those in question, that allows a handling. */
function findVersion(
  call: CallRecord,
  input: { readonly handling: Handling; readonly from: number },
): number | undefined {
  for (let version = input.from; version <= call.newestVersion; version++) {
    if (isAllowed(call, { handling: input.handling, version })) return version;
  }
  return undefined;
}

function isAllowed(
  call: CallRecord,
  input: { readonly handling: Handling; readonly version: number },
): boolean {
  const { handling, version } = input;
  const { routeVersion } = call;
  if ("service" in handling) {
    return hasKey(call, version) && hasRoute(call, version) &&
      (routeVersion === undefined ||
        findService(version, routeVersion) === handling.service);
  }
  return handling.status === 401 && !hasKey(call, version) ||
    handling.status === 404 && !hasRoute(call, version);
}

function hasKey({ keyVersion }: CallRecord, version: number): boolean {
  return keyVersion === undefined ||
    listKeyVersions(version).includes(keyVersion);
}

function hasRoute({ routeVersion }: CallRecord, version: number): boolean {
  return routeVersion === undefined ||
    findService(version, routeVersion) !== undefined;
}

function listRuns({ services }: CallRecord): { service: string }[] {
  return services.map((service) => ({ service }));
}

/** Returns the ways in which a call was handled that depend on configurations. */
function listHandlings(call: CallRecord): Handling[] {
  const { status } = call;
  const isRefused = REFUSAL_STATUSES.has(status);
  return [...listRuns(call), ...(isRefused ? [{ status }] : [])];
}

function formatProcess({ vm, incarnation }: CallRecord): string {
  return `${vm}/${incarnation}`;
}
