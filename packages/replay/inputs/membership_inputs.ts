/** Replay inputs that call the decision code of packages/membership. */
import type {
  Member,
  MembershipView,
  MemberUpdate,
} from "../../membership/mod.ts";
import {
  chooseHomes,
  expireMembers,
  receiveGossip,
  recordProbeFailed,
} from "../../membership/mod.ts";
import { REPLAY_REGION } from "../replay_fleet.ts";
import type { InputTable } from "../replay_input.ts";
import { COUNT_SCHEMA, createInput, NAME_SCHEMA } from "../replay_input.ts";

/** Returns the update that tells other VMs the state of a member. */
function createUpdate(view: MembershipView, member: Member): MemberUpdate {
  const { vm, incarnation, state, documentVersion } = member;
  const { region, dataCentre, peerAddress, callerAddress } = member;
  return {
    vm,
    incarnation,
    state,
    documentVersion,
    refutation: view.records.get(vm)?.refutation ?? 0,
    place: { region, dataCentre, peerAddress, callerAddress },
  };
}

/** Returns the state of each member of a view by the name of its VM. */
function describeView(view: MembershipView): unknown {
  const states = [...view.members.values()]
    .map((member) => [member.vm, member.state] as const)
    .sort(([left], [right]) => left < right ? -1 : 1);
  return Object.fromEntries(states);
}

/**
 * Sends a gossip message with a VM's complete membership view to another VM.
 */
const tell = createInput(
  { from: NAME_SCHEMA, to: NAME_SCHEMA },
  ({ from, to }, { fleet, now }) => {
    const { view } = fleet.getVm(from);
    const self = view.members.get(from)!;
    const others = [...view.members.values()]
      .filter((member) => member.vm !== from);
    const message = {
      from: createUpdate(view, self),
      digest: view.digest,
      updates: others.map((member) => createUpdate(view, member)),
    };
    const receiver = fleet.getVm(to);
    receiver.view = receiveGossip(receiver.view, { message, now });
    return describeView(receiver.view);
  },
);

/**
 * A member answered neither a VM's probe nor the indirect probes of other VMs.
 */
const noAnswer = createInput(
  { vm: NAME_SCHEMA, of: NAME_SCHEMA },
  ({ vm, of }, { fleet, now }) => {
    const replayVm = fleet.getVm(vm);
    replayVm.view = recordProbeFailed(replayVm.view, { vm: of, now });
    return describeView(replayVm.view);
  },
);

/**
 * Runs a VM's periodic expiry of members. A long time since the last run means
 * that the VM was paused.
 */
const tick = createInput(
  { vm: NAME_SCHEMA },
  ({ vm }, { fleet, now }) => {
    const replayVm = fleet.getVm(vm);
    replayVm.view = expireMembers(replayVm.view, { now });
    return describeView(replayVm.view);
  },
);

/** Returns the home VMs of an event according to a VM's membership view. */
const homes = createInput(
  { vm: NAME_SCHEMA, event: NAME_SCHEMA, homes: COUNT_SCHEMA },
  ({ vm, event, homes }, { fleet }) =>
    chooseHomes(fleet.getVm(vm).view, {
      eventId: event,
      region: REPLAY_REGION,
      homes,
    }),
);

/** Inputs for the membership views of VMs. */
export const MEMBERSHIP_INPUTS: InputTable = {
  "membership/tell": tell,
  "membership/no-answer": noAnswer,
  "membership/tick": tick,
  "membership/homes": homes,
};
