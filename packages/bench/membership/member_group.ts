/**
 * Members that gossip in virtual time. The loop carries out what the decision
 * functions plan and nothing more; a message either arrives at once or never.
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

/** What one member has sent and received. */
export interface TrafficCounts {
  readonly messages: number;
  readonly bytes: Bytes;
}

interface Node {
  view: MembershipView;
  running: boolean;
  /** Changes with each start, so that timers of an earlier life end. */
  life: number;
  messages: number;
  bytes: Bytes;
}

/** Says whether a message between two members is lost. */
export type LossRule = (from: VmId, to: VmId) => boolean;

/** A number of members on one virtual clock. */
export class MemberGroup {
  readonly clock = new VirtualClock();
  /** Replace it to cut members off from each other. */
  isLost: LossRule = () => false;
  /** Is called after two members have exchanged messages. */
  onExchange: (left: VmId, right: VmId) => void = () => {};
  readonly #random: SeededRandom;
  readonly #nodes = new Map<VmId, Node>();

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
  }

  /** Starts a member that knows the members given, as from heartbeat rows. */
  startMember(vm: VmId, known: readonly Member[] = []): void {
    const now = this.clock.readMonotonic();
    const self = createMember(vm, { now, incarnation: formatLife(now) });
    let view = createMembershipView(self);
    const updates = known.map(createKnownUpdate);
    view = applyHeartbeatRows(view, { updates, now });
    const life = (this.#nodes.get(vm)?.life ?? 0) + 1;
    const counts = this.#nodes.get(vm) ?? { messages: 0, bytes: 0 };
    const { messages, bytes } = counts;
    this.#nodes.set(vm, { view, running: true, life, messages, bytes });
    const phase = this.#random.uniform() * GOSSIP_INTERVAL;
    this.clock.schedule(phase, () => this.#runRound(vm, life));
  }

  /** Starts members that all know each other. */
  startMembers(count: number): void {
    const now = this.clock.readMonotonic();
    const incarnation = formatLife(now);
    const members = Array.from(
      { length: count },
      (_, index) => createMember(formatVm(index), { now, incarnation }),
    );
    for (const member of members) this.startMember(member.vm, members);
  }

  /** Ends a member without a word. */
  crashMember(vm: VmId): void {
    this.#getNode(vm).running = false;
  }

  /** Holds a member still; it goes on later with the state that it had. */
  pauseMember(vm: VmId, duration: Millis): void {
    const node = this.#getNode(vm);
    node.running = false;
    const life = ++node.life;
    this.clock.schedule(duration, () => {
      node.running = true;
      this.#runRound(vm, life);
    });
  }

  /** Lets a member say that it is leaving. */
  drainMember(vm: VmId): void {
    const now = this.clock.readMonotonic();
    this.#change(vm, (view) => recordLeaving(view, { now }));
  }

  /** Records the document version that a member has in force. */
  changeDocument(vm: VmId, version: number): void {
    this.#change(vm, (view) => recordOwnDocumentVersion(view, version));
  }

  /** Runs for a duration of virtual time. */
  runFor(duration: Millis): void {
    const end = this.clock.readMonotonic() + duration;
    this.clock.runSynchronouslyUntil(end);
  }

  /** Returns what a member believes. */
  readView(vm: VmId): MembershipView {
    return this.#getNode(vm).view;
  }

  /** Returns what a member believes of another. */
  readState(vm: VmId, of: VmId): MemberState | undefined {
    return this.readView(vm).members.get(of)?.state;
  }

  /** Returns the members that run. */
  listRunning(): VmId[] {
    return [...this.#nodes]
      .filter(([, node]) => node.running)
      .map(([vm]) => vm);
  }

  /** Returns how many of those that run believe a state of a member. */
  countBelievers(of: VmId, states: readonly MemberState[]): number {
    return this.listRunning()
      .filter((vm) => vm !== of)
      .filter((vm) => states.includes(this.readState(vm, of)!)).length;
  }

  /** Returns the traffic of a member since its first start. */
  readTraffic(vm: VmId): TrafficCounts {
    const { messages, bytes } = this.#getNode(vm);
    return { messages, bytes };
  }

  #runRound(vm: VmId, life: number): void {
    const node = this.#getNode(vm);
    if (!node.running || node.life !== life) return;
    const now = this.clock.readMonotonic();
    this.#change(vm, (view) => expireMembers(view, { now }));
    const random = this.#random.uniform;
    const contacts = planGossip(node.view, { now, random });
    this.#change(vm, (view) => recordGossipSent(view, { contacts, now }));
    for (const contact of contacts) this.#contact(vm, contact);
    this.clock.schedule(GOSSIP_INTERVAL, () => this.#runRound(vm, life));
  }

  #contact(from: VmId, contact: GossipContact): void {
    const answered = this.#exchange(from, contact.vm, contact.message);
    if (answered || contact.purpose !== GossipPurpose.Probe) return;
    const node = this.#getNode(from);
    const { life } = node;
    this.clock.schedule(PROBE_TIMEOUT, () => {
      if (node.life !== life) return;
      this.#probeIndirectly(from, contact.vm);
    });
  }

  #probeIndirectly(from: VmId, to: VmId): void {
    const random = this.#random.uniform;
    const helpers = planIndirectProbes(this.readView(from), { vm: to, random });
    for (const { vm } of helpers) this.#count(from, vm, PING_BYTES);
    const reached = helpers.some(({ vm }) =>
      this.#isReached(from, vm) && this.#isReached(vm, to)
    );
    if (reached) return;
    const node = this.#getNode(from);
    const { life } = node;
    this.clock.schedule(PROBE_TIMEOUT, () => {
      if (node.life !== life) return;
      const now = this.clock.readMonotonic();
      this.#change(from, (view) => recordProbeFailed(view, { vm: to, now }));
    });
  }

  /** Carries a message and its answer; false when either is lost. */
  #exchange(from: VmId, to: VmId, message: GossipMessage): boolean {
    this.#count(from, to, JSON.stringify(message).length);
    if (!this.#isReached(from, to)) return false;
    const now = this.clock.readMonotonic();
    this.#change(to, (view) => receiveGossip(view, { message, now }));
    const reply = planReply(this.readView(to), message);
    this.#change(to, (view) => recordReplySent(view, reply));
    this.#count(to, from, JSON.stringify(reply).length);
    const received = { message: reply, now };
    this.#change(from, (view) => receiveGossip(view, received));
    this.onExchange(from, to);
    return true;
  }

  #isReached(from: VmId, to: VmId): boolean {
    const running = this.#nodes.get(to)?.running ?? false;
    return running && !this.isLost(from, to) && !this.isLost(to, from);
  }

  #count(from: VmId, to: VmId, bytes: Bytes): void {
    for (const vm of [from, to]) {
      const node = this.#nodes.get(vm);
      if (node === undefined) continue;
      node.messages++;
      node.bytes += bytes;
    }
  }

  #change(vm: VmId, change: (view: MembershipView) => MembershipView): void {
    const node = this.#getNode(vm);
    node.view = change(node.view);
  }

  #getNode(vm: VmId): Node {
    const node = this.#nodes.get(vm);
    if (node === undefined) throw new Error(`There is no member ${vm}.`);
    return node;
  }
}

/** Size of a request to probe another member. */
const PING_BYTES: Bytes = 120;

/** Returns the name of a member by its number. */
export function formatVm(index: number): VmId {
  return `vm-${String(index).padStart(3, "0")}`;
}

/** Returns a member as it describes itself. */
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

function createKnownUpdate(member: Member): MemberUpdate {
  const { vm, incarnation, state, documentVersion, ...place } = member;
  const update = { vm, incarnation, state, documentVersion, refutation: 0 };
  return { ...update, place };
}

function formatLife(now: MonotonicTime): string {
  return `${Math.floor(now).toString(16).padStart(12, "0")}-0`;
}
