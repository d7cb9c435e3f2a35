/**
 * Simulates members that gossip in virtual time. It only carries out what the
 * decision functions of the membership package plan. A message arrives either
 * immediately or never.
 */
import type { Bytes, Millis, MonotonicTime, VmId } from "../../core/mod.ts";
import {
  applyHeartbeatRows,
  createMembershipView,
  expireMembers,
  GOSSIP_INTERVAL,
  type GossipContact,
  type GossipMessage,
  GossipPurpose,
  type Member,
  type MembershipView,
  MemberState,
  type MemberUpdate,
  planGossip,
  planIndirectProbes,
  planReply,
  PROBE_TIMEOUT,
  receiveGossip,
  recordGossipSent,
  recordLeaving,
  recordOwnDocumentVersion,
  recordProbeFailed,
  recordReplySent,
} from "../../membership/mod.ts";
import { SeededRandom } from "../harness/random.ts";
import { VirtualClock } from "../harness/virtual_clock.ts";

/** Number and size of the messages that a member has sent and received. */
export interface TrafficCounts {
  readonly messages: number;
  readonly bytes: Bytes;
}

/** The state of one simulated member. */
interface MemberNode {
  view: MembershipView;
  running: boolean;
  /**
   * Changes at each start and pause, so that timers from before it are ignored.
   */
  startNumber: number;
  messages: number;
  bytes: Bytes;
}

/** Returns whether a message from one member to another is lost. */
export type LossRule = (from: VmId, to: VmId) => boolean;

/** A group of members on one virtual clock. */
export class MemberGroup {
  readonly clock = new VirtualClock();
  /** Loss rule of all messages; replace it to simulate partitions. */
  isLost: LossRule = () => false;
  /** Called after two members have exchanged a message and its answer. */
  onExchange: (left: VmId, right: VmId) => void = () => {};
  readonly #random: SeededRandom;
  readonly #nodes = new Map<VmId, MemberNode>();

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
  }

  /**
   * Starts a member that knows the given members, as if it had read their
   * heartbeat rows.
   */
  startMember(vm: VmId, knownMembers: readonly Member[] = []): void {
    const now = this.clock.readMonotonic();
    const self = createMember(vm, { now, incarnation: formatIncarnation(now) });
    let view = createMembershipView(self);
    const updates = knownMembers.map(createHeartbeatUpdate);
    view = applyHeartbeatRows(view, { updates, now });
    const startNumber = (this.#nodes.get(vm)?.startNumber ?? 0) + 1;
    const counts = this.#nodes.get(vm) ?? { messages: 0, bytes: 0 };
    const { messages, bytes } = counts;
    this.#nodes.set(vm, {
      view,
      running: true,
      startNumber,
      messages,
      bytes,
    });
    const phase = this.#random.uniform() * GOSSIP_INTERVAL;
    this.clock.schedule(phase, () => this.#runRound(vm, startNumber));
  }

  /** Starts a number of members that all know each other. */
  startMembers(count: number): void {
    const now = this.clock.readMonotonic();
    const incarnation = formatIncarnation(now);
    const members = Array.from(
      { length: count },
      (_, index) => createMember(formatVm(index), { now, incarnation }),
    );
    for (const member of members) this.startMember(member.vm, members);
  }

  /** Stops a member without notice to the others. */
  crashMember(vm: VmId): void {
    this.#getNode(vm).running = false;
  }

  /** Pauses a member for a duration; it then continues with its old state. */
  pauseMember(vm: VmId, duration: Millis): void {
    const node = this.#getNode(vm);
    node.running = false;
    const startNumber = ++node.startNumber;
    this.clock.schedule(duration, () => {
      node.running = true;
      this.#runRound(vm, startNumber);
    });
  }

  /** Makes a member announce that it is leaving. */
  drainMember(vm: VmId): void {
    const now = this.clock.readMonotonic();
    this.#updateView(vm, (view) => recordLeaving(view, { now }));
  }

  /** Sets the document version that a member uses and announces. */
  changeDocument(vm: VmId, version: number): void {
    this.#updateView(vm, (view) => recordOwnDocumentVersion(view, version));
  }

  /** Runs the group for a duration of virtual time. */
  runFor(duration: Millis): void {
    const end = this.clock.readMonotonic() + duration;
    this.clock.runSynchronouslyUntil(end);
  }

  /** Returns the membership view of a member. */
  readView(vm: VmId): MembershipView {
    return this.#getNode(vm).view;
  }

  /** Returns the state of another member in the view of `vm`. */
  readState(vm: VmId, member: VmId): MemberState | undefined {
    return this.readView(vm).members.get(member)?.state;
  }

  /** Returns the members that are running. */
  listRunning(): VmId[] {
    return [...this.#nodes]
      .filter(([, node]) => node.running)
      .map(([vm]) => vm);
  }

  /**
   * Returns how many other running members see a member in one of some states.
   */
  countMembersSeeing(member: VmId, states: readonly MemberState[]): number {
    return this.listRunning()
      .filter((vm) => vm !== member)
      .filter((vm) => states.includes(this.readState(vm, member)!)).length;
  }

  /** Returns the traffic of a member since its first start. */
  readTraffic(vm: VmId): TrafficCounts {
    const { messages, bytes } = this.#getNode(vm);
    return { messages, bytes };
  }

  #runRound(vm: VmId, startNumber: number): void {
    const node = this.#getNode(vm);
    if (!node.running || node.startNumber !== startNumber) return;
    const now = this.clock.readMonotonic();
    this.#updateView(vm, (view) => expireMembers(view, { now }));
    const random = this.#random.uniform;
    const contacts = planGossip(node.view, { now, random });
    this.#updateView(vm, (view) => recordGossipSent(view, { contacts, now }));
    for (const contact of contacts) this.#sendMessage(vm, contact);
    this.clock.schedule(GOSSIP_INTERVAL, () => this.#runRound(vm, startNumber));
  }

  #sendMessage(from: VmId, contact: GossipContact): void {
    const answered = this.#exchange(from, contact.vm, contact.message);
    if (answered || contact.purpose !== GossipPurpose.Probe) return;
    const node = this.#getNode(from);
    const { startNumber } = node;
    this.clock.schedule(PROBE_TIMEOUT, () => {
      if (node.startNumber !== startNumber) return;
      this.#probeIndirectly(from, contact.vm);
    });
  }

  #probeIndirectly(from: VmId, to: VmId): void {
    const random = this.#random.uniform;
    const relays = planIndirectProbes(this.readView(from), { vm: to, random });
    for (const { vm } of relays) this.#countMessage(from, vm, PING_BYTES);
    const reached = relays.some(({ vm }) =>
      this.#isReached(from, vm) && this.#isReached(vm, to)
    );
    if (reached) return;
    const node = this.#getNode(from);
    const { startNumber } = node;
    this.clock.schedule(PROBE_TIMEOUT, () => {
      if (node.startNumber !== startNumber) return;
      const now = this.clock.readMonotonic();
      this.#updateView(
        from,
        (view) => recordProbeFailed(view, { vm: to, now }),
      );
    });
  }

  /** Delivers a message and its answer; returns false when either is lost. */
  #exchange(from: VmId, to: VmId, message: GossipMessage): boolean {
    this.#countMessage(from, to, JSON.stringify(message).length);
    if (!this.#isReached(from, to)) return false;
    const now = this.clock.readMonotonic();
    this.#updateView(to, (view) => receiveGossip(view, { message, now }));
    const reply = planReply(this.readView(to), message);
    this.#updateView(to, (view) => recordReplySent(view, reply));
    this.#countMessage(to, from, JSON.stringify(reply).length);
    const received = { message: reply, now };
    this.#updateView(from, (view) => receiveGossip(view, received));
    this.onExchange(from, to);
    return true;
  }

  #isReached(from: VmId, to: VmId): boolean {
    const running = this.#nodes.get(to)?.running ?? false;
    return running && !this.isLost(from, to) && !this.isLost(to, from);
  }

  #countMessage(from: VmId, to: VmId, bytes: Bytes): void {
    for (const vm of [from, to]) {
      const node = this.#nodes.get(vm);
      if (node === undefined) continue;
      node.messages++;
      node.bytes += bytes;
    }
  }

  #updateView(
    vm: VmId,
    change: (view: MembershipView) => MembershipView,
  ): void {
    const node = this.#getNode(vm);
    node.view = change(node.view);
  }

  #getNode(vm: VmId): MemberNode {
    const node = this.#nodes.get(vm);
    if (node === undefined) throw new Error(`There is no member ${vm}.`);
    return node;
  }
}

/** Size of a message that asks a member to probe another one. */
const PING_BYTES: Bytes = 120;

/** Returns the VM id of the member with a number. */
export function formatVm(index: number): VmId {
  return `vm-${String(index).padStart(3, "0")}`;
}

/** Creates the description that a member gives of itself. */
export function createMember(
  vm: VmId,
  input: { readonly now: MonotonicTime; readonly incarnation: string },
): Member {
  const number = Number.parseInt(vm.slice(3), 10);
  const address = `10.0.${Math.floor(number / 250)}.${number % 250}`;
  return {
    vm,
    incarnation: input.incarnation,
    state: MemberState.Live,
    region: `region-${number % 7}`,
    dataCentre: `region-${number % 7}-dc-${number % 24}`,
    peerAddress: `${address}:7400`,
    callerAddress: `${address}:8080`,
    documentVersion: 1,
    heardAt: input.now,
  };
}

function createHeartbeatUpdate(member: Member): MemberUpdate {
  const { vm, incarnation, state, documentVersion, ...place } = member;
  const update = { vm, incarnation, state, documentVersion, refutation: 0 };
  return { ...update, place };
}

function formatIncarnation(now: MonotonicTime): string {
  return `${Math.floor(now).toString(16).padStart(12, "0")}-0`;
}
