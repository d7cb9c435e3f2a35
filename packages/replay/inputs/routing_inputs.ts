/**
 * Replay inputs for silent connections, quarantine and duties
 * (packages/routing).
 */
import { z } from "zod";
import {
  createRenewDuty,
  createTakeDuty,
  decideSilence,
  DutyWatch,
  formatDutyKey,
  isReusable,
  parseDutyRow,
} from "../../routing/mod.ts";
import type { InputTable } from "../replay_input.ts";
import { COUNT_SCHEMA, createInput, NAME_SCHEMA } from "../replay_input.ts";
import type { ReplayVm } from "../replay_fleet.ts";
import { STORE_FAULT_SCHEMA } from "../replay_store.ts";
import { describeStoreAnswer } from "./store_inputs.ts";

/** Decides what to do with an attempt that makes no progress. */
const silence = createInput(
  {
    lastProgress: COUNT_SCHEMA,
    begun: z.boolean(),
    progressTimeout: COUNT_SCHEMA,
    capacity: COUNT_SCHEMA,
    probe: z.strictObject({
      at: COUNT_SCHEMA,
      load: z.strictObject({ running: COUNT_SCHEMA, queued: COUNT_SCHEMA })
        .optional(),
    }).optional(),
  },
  ({ probe, ...silent }, { now }) => {
    const newestProbe = probe === undefined
      ? {}
      : { probe: { at: probe.at, ...describeLoad(probe.load) } };
    return { action: decideSilence({ ...silent, ...newestProbe }, now) };
  },
);

function describeLoad(
  load: { readonly running: number; readonly queued: number } | undefined,
) {
  return load === undefined ? {} : { load };
}

/** Returns whether a pooled connection may carry another request. */
const reuse = createInput(
  {
    openedAt: COUNT_SCHEMA,
    lastUsed: COUNT_SCHEMA,
    droppedAt: COUNT_SCHEMA.optional(),
  },
  ({ openedAt, lastUsed, droppedAt }, { now }) => {
    const options = droppedAt === undefined ? { now } : { now, droppedAt };
    const connection = { openedAt, lastUsed, draw: 0 };
    return { reusable: isReusable(connection, options) };
  },
);

/**
 * Starts a request at a target, unless the digest of its body is quarantined.
 */
const start = createInput(
  { vm: NAME_SCHEMA, digest: NAME_SCHEMA, target: NAME_SCHEMA },
  ({ vm, digest, target }, { fleet, now }) => {
    const { quarantine } = fleet.getVm(vm);
    if (quarantine.isQuarantined(digest, now)) return { quarantined: true };
    quarantine.recordStart(digest, target);
    return { started: true };
  },
);

/** Records a crash of a target and returns which requests it quarantines. */
const crash = createInput(
  { vm: NAME_SCHEMA, target: NAME_SCHEMA },
  ({ vm, target }, { fleet, now }) => {
    const { quarantined } = fleet.getVm(vm).quarantine.recordCrash(target, now);
    return { quarantined };
  },
);

/** Sends the quarantine entries of a VM to another VM. */
const gossip = createInput(
  { from: NAME_SCHEMA, to: NAME_SCHEMA },
  ({ from, to }, { fleet, now }) => {
    const entries = fleet.getVm(from).quarantine.listEntries({ now });
    return { changed: fleet.getVm(to).quarantine.applyEntries(entries, now) };
  },
);

function getWatch(vm: ReplayVm, duty: string): DutyWatch {
  const watch = vm.duties.get(duty) ?? new DutyWatch();
  vm.duties.set(duty, watch);
  return watch;
}

const DUTY_FIELDS = { vm: NAME_SCHEMA, duty: NAME_SCHEMA };

/**
 * Takes a duty; `sentAt` is the time that was read before the write was sent.
 */
const takeDuty = createInput(
  {
    ...DUTY_FIELDS,
    longestOrder: COUNT_SCHEMA,
    sentAt: COUNT_SCHEMA,
    store: STORE_FAULT_SCHEMA,
  },
  ({ vm, duty, longestOrder, sentAt, store }, { fleet, now }) => {
    const replayVm = fleet.getVm(vm);
    const watch = getWatch(replayVm, duty);
    const lapsed = watch.findLapsed(now);
    const operation = createTakeDuty({
      duty,
      holder: { vm, incarnation: replayVm.incarnation },
      longestOrder,
      wallTime: now,
      ...(lapsed === undefined ? {} : { lapsed }),
    });
    const answer = fleet.store.run(operation, store);
    return describeStoreAnswer(answer, (taken) => {
      if (taken.held) watch.recordTaken(taken, { sentAt, now });
      return { held: taken.held, fence: taken.fence };
    });
  },
);

/** Renews a duty if its renewal is due. */
const renewDuty = createInput(
  { ...DUTY_FIELDS, sentAt: COUNT_SCHEMA, store: STORE_FAULT_SCHEMA },
  ({ vm, duty, sentAt, store }, { fleet, now }) => {
    const replayVm = fleet.getVm(vm);
    const watch = getWatch(replayVm, duty);
    const due = watch.findDueRenewal(now);
    if (due === undefined) return { due: false };
    const operation = createRenewDuty({
      duty,
      holder: { vm, incarnation: replayVm.incarnation },
      wallTime: now,
      ...due,
    });
    const answer = fleet.store.run(operation, store);
    return describeStoreAnswer(answer, ({ held, renewals }) => {
      if (held) watch.recordRenewed(renewals, sentAt);
      else watch.recordLost();
      return { held };
    });
  },
);

/** Reads the row of a duty; returns whether its lease has lapsed. */
const seeDuty = createInput(
  DUTY_FIELDS,
  ({ vm, duty }, { fleet, now }) => {
    const [row] = fleet.store.read([formatDutyKey(duty)]);
    const watch = getWatch(fleet.getVm(vm), duty);
    watch.recordRow(parseDutyRow(row), now);
    return { lapsed: watch.findLapsed(now) !== undefined };
  },
);

/**
 * Returns whether a VM may give orders now, and whether this includes targets
 * that ignore fencing tokens.
 */
const mayOrder = createInput(
  DUTY_FIELDS,
  ({ vm, duty }, { fleet, now }) => {
    const watch = getWatch(fleet.getVm(vm), duty);
    const fence = watch.readFence(now);
    if (fence === undefined) return { fence: null };
    return { fence, unfenced: watch.isUnfencedAllowed(now) };
  },
);

/** Inputs for silent connections, quarantine and control duties. */
export const ROUTING_INPUTS: InputTable = {
  "routing/silence": silence,
  "routing/reuse": reuse,
  "routing/start": start,
  "routing/crash": crash,
  "routing/gossip": gossip,
  "duty/take": takeDuty,
  "duty/renew": renewDuty,
  "duty/see": seeDuty,
  "duty/may-order": mayOrder,
};
