/**
 * This VM's view of the other entry VMs, kept up to date by gossip, probes,
 * heartbeat rows and the platform's VM list. The decisions are pure functions
 * of the membership package; this file does the input and output.
 */
import {
  combineUndo,
  type CommandType,
  createCommand,
  type EventConfig,
  type Incarnation,
  type JsonValue,
  type Millis,
  type MonotonicTime,
  rankMembers,
  type SliceType,
  type TargetConfig,
  type Undo,
  type VmId,
} from "../../core/mod.ts";
import {
  applyHeartbeatRows,
  applyVmList,
  chooseHomes,
  createDropHeartbeat,
  createHeartbeat,
  createMembershipView,
  expireMembers,
  type GossipContact,
  type GossipMessage,
  GossipPurpose,
  HEARTBEAT_PREFIX,
  listHeartbeatUpdates,
  type Member,
  type MembershipView,
  MemberState,
  parseGossip,
  planGossip,
  planIndirectProbes,
  planReply,
  receiveGossip,
  recordGossipSent,
  recordLeaving,
  recordOwnDocumentVersion,
  recordProbeFailed,
  recordReplySent,
} from "../../membership/mod.ts";
import type { Peer } from "../../lending/mod.ts";
import type { PeerClient, PeerGossip } from "../../peer/mod.ts";
import { type ListedVm, ListedVmState } from "../../ports/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import { CONFIGURATION, type NodeContext } from "../node_context.ts";
import type { GossipExchange } from "./gossip_exchange.ts";

type ViewChange = (view: MembershipView) => MembershipView;

const CHANGE_VIEW: CommandType<ViewChange, MembershipView> = createCommand(
  "membership.change",
);

/** Name of the gossip part that holds the membership message. */
const MEMBERSHIP_PART = "membership";

/** Maximum number of heartbeat rows that are read in one scan. */
const HEARTBEAT_PAGE = 500;

/**
 * Gossip rounds between two attempts of an isolated VM to join again. A VM is
 * isolated while it believes every other VM that it knows to be dead.
 */
const ISOLATED_ROUNDS = 5;

/** Maximum wait for peers to answer when gossip is sent to all of them. */
const PUSH_TIMEOUT: Millis = 200;

/** Addresses at which other VMs reach this one. */
export interface OwnAddresses {
  readonly peerAddress: string;
  readonly callerAddress: string;
}

/** Tracks the other entry VMs. */
export class Membership {
  readonly #context: NodeContext;
  readonly #client: PeerClient;
  readonly #gossip: GossipExchange;
  readonly #slice: SliceType<MembershipView>;
  readonly #onReplaced: () => void;
  readonly #onListed: (listed: readonly ListedVm[]) => void;
  #isReplaced = false;
  #heartbeatNumber = 0;
  #isolatedRounds = 0;
  /** When each known VM was first found missing from the platform's list. */
  readonly #unlistedSince = new Map<VmId, MonotonicTime>();

  constructor(
    context: NodeContext,
    input: {
      readonly client: PeerClient;
      readonly gossip: GossipExchange;
      readonly addresses: OwnAddresses;
      /** Called once, when a later incarnation of this VM is known. */
      readonly onReplaced: () => void;
      /** Called with the platform's VM list each time it was read. */
      readonly onListed: (listed: readonly ListedVm[]) => void;
    },
  ) {
    this.#onListed = input.onListed;
    this.#onReplaced = input.onReplaced;
    this.#context = context;
    this.#client = input.client;
    this.#gossip = input.gossip;
    const { addresses } = input;
    this.#slice = {
      name: "membership",
      createInitial: () => createMembershipView(createSelf(context, addresses)),
    };
  }

  /** Registers the command and the state dump, and starts the periodic work. */
  register(): Undo {
    const { kernel, settings } = this.#context;
    const { gossipMillis, heartbeatMillis, vmListMillis } = settings.intervals;
    return combineUndo([
      kernel.registerCommand(CHANGE_VIEW, (change, update) => {
        const view = change(update.read(this.#slice));
        update.write(this.#slice, view);
        return view;
      }),
      kernel.registerDump("members", () => [...this.#read().members.values()]),
      this.#start(gossipMillis, () => this.#runRound()),
      this.#start(heartbeatMillis, () => this.#writeHeartbeat()),
      this.#start(vmListMillis, () => this.#readVmList()),
    ]);
  }

  /**
   * Discovers other VMs through the heartbeat rows and the seed addresses,
   * before the first request is served and while this VM is isolated.
   */
  async join(): Promise<void> {
    await Promise.all([this.#readHeartbeats(), this.#contactSeeds()]);
  }

  /** Applies a peer's gossip and returns this VM's gossip as the reply. */
  answerGossip(gossip: PeerGossip): PeerGossip {
    this.#gossip.apply(gossip);
    const received = readMembershipMessage(gossip);
    const own = this.#gossip.create();
    if (received === undefined) return own;
    const now = this.#readTime();
    const view = this.#change((before) =>
      receiveGossip(before, { message: received, now })
    );
    const message = planReply(view, received);
    this.#change((before) => recordReplySent(before, message));
    return addMembershipMessage(own, message);
  }

  /**
   * Sends gossip to every peer that is not believed dead. Resolves when
   * all have answered, or after {@link PUSH_TIMEOUT}.
   */
  async pushGossip(): Promise<void> {
    const gossip = this.#gossip.create();
    const sent = this.listPeers().map((peer) =>
      this.#client.exchangeNews(peer.address, gossip)
    );
    const timeout = new Promise((resolve) => setTimeout(resolve, PUSH_TIMEOUT));
    await Promise.race([Promise.all(sent), timeout]);
  }

  /** Returns the peers not believed dead, those of this VM's region first. */
  listPeers(): Peer[] {
    const { vm, region } = this.#context.settings;
    return [...this.#read().members.values()]
      .filter((member) => member.vm !== vm)
      .filter((member) => member.state !== MemberState.Dead)
      .sort((left, right) =>
        Number(right.region === region) - Number(left.region === region)
      )
      .map((member) => ({ vm: member.vm, address: member.peerAddress }));
  }

  /**
   * Returns the peer that keeps bill copies for this VM: a live VM of this
   * region, in another data centre if there is one. The choice stays the same
   * while the view does.
   */
  chooseBackup(): Peer | undefined {
    const { vm, region, dataCentre } = this.#context.settings;
    const near = [...this.#read().members.values()]
      .filter((member) => member.vm !== vm && member.region === region)
      .filter((member) => member.state === MemberState.Live);
    const otherDataCentre = near.filter((member) =>
      member.dataCentre !== dataCentre
    );
    const candidates = otherDataCentre.length > 0 ? otherDataCentre : near;
    const [best] = rankMembers(
      `backup/${vm}`,
      candidates.map((each) => each.vm),
    );
    const member = candidates.find((each) => each.vm === best);
    return member === undefined
      ? undefined
      : { vm: member.vm, address: member.peerAddress };
  }

  /** Returns the current membership view. */
  readView(): MembershipView {
    return this.#read();
  }

  /**
   * Returns how long a VM has been missing from the platform's list; undefined
   * if it is not missing.
   */
  readUnlistedFor(vm: VmId): Millis | undefined {
    const since = this.#unlistedSince.get(vm);
    return since === undefined ? undefined : this.#readTime() - since;
  }

  /** Returns a member, or undefined if the VM is unknown. */
  findMember(vm: VmId): Member | undefined {
    return this.#read().members.get(vm);
  }

  /** Returns the number of live VMs, this one included. */
  countVms(): number {
    let count = 0;
    for (const member of this.#read().members.values()) {
      if (member.state === MemberState.Live) count++;
    }
    return Math.max(1, count);
  }

  /** Returns an event's home VMs in this region, in order of preference. */
  listHomes(event: EventConfig): readonly VmId[] {
    const { region } = this.#context.settings;
    return chooseHomes(this.#read(), {
      eventId: event.id,
      region,
      homes: event.homes,
    });
  }

  /**
   * Returns whether this VM probes a target for its load. One VM of the
   * target's region does so or, if that region has no VM, one VM of each
   * region. The others receive the reports from their peers.
   */
  isProber(target: TargetConfig): boolean {
    const { region, vm } = this.#context.settings;
    const view = this.#read();
    const eventId = `target/${target.id}`;
    const near = chooseHomes(view, {
      eventId,
      region: target.region,
      homes: 1,
    });
    if (near.length > 0) return near.includes(vm);
    return chooseHomes(view, { eventId, region, homes: 1 }).includes(vm);
  }

  /**
   * Returns whether an incarnation of a VM is believed to have ended: the VM is
   * unknown or dead, or has a later incarnation.
   */
  hasIncarnationEnded(vm: VmId, incarnation: Incarnation): boolean {
    const member = this.#read().members.get(vm);
    if (member === undefined) return true;
    return member.incarnation > incarnation ||
      (member.incarnation === incarnation &&
        member.state === MemberState.Dead);
  }

  /** Records the document version that this VM uses. */
  recordDocument(version: number): void {
    this.#change((view) => recordOwnDocumentVersion(view, version));
  }

  /** Marks this VM as leaving and gossips that to peers. */
  async leave(): Promise<void> {
    const now = this.#readTime();
    this.#change((view) => recordLeaving(view, { now }));
    await this.#runRound();
  }

  /** Removes this VM's heartbeat row, as the last step of a planned stop. */
  async dropHeartbeat(): Promise<void> {
    const { settings, incarnation, writer, clock } = this.#context;
    const giveUpAt = clock.readMonotonic() + settings.intervals.heartbeatMillis;
    const { vm } = settings;
    await writer.run(createDropHeartbeat({ vm, incarnation }), { giveUpAt });
  }

  #start(interval: Millis, run: () => Promise<void>): Undo {
    const { random, log } = this.#context;
    return startPeriodic({
      interval,
      random,
      run,
      reportError: createErrorReporter(log, "membership"),
    }).stop;
  }

  #read(): MembershipView {
    return this.#context.kernel.read(this.#slice);
  }

  #change(change: ViewChange): MembershipView {
    const before = this.#read();
    const after = this.#context.kernel.dispatch(CHANGE_VIEW, change);
    this.#logChanges(before, after);
    return after;
  }

  #logChanges(before: MembershipView, after: MembershipView): void {
    if (before.digest === after.digest) return;
    for (const member of after.members.values()) {
      const known = before.members.get(member.vm);
      if (known?.state === member.state) continue;
      this.#context.log.info(LogEvent.MemberChanged, {
        vm: member.vm,
        incarnation: member.incarnation,
        state: member.state,
      });
    }
  }

  #readTime(): number {
    return this.#context.clock.readMonotonic();
  }

  async #runRound(): Promise<void> {
    const now = this.#readTime();
    const { random, metrics } = this.#context;
    const view = this.#change((before) => expireMembers(before, { now }));
    const contacts = planGossip(view, { now, random });
    this.#change((before) => recordGossipSent(before, { contacts, now }));
    metrics.members.set({ state: MemberState.Live }, this.countVms());
    if (view.replacedBy !== undefined) this.#reportReplaced(view.replacedBy);
    await this.#rejoinIfIsolated();
    await Promise.all(contacts.map((contact) => this.#sendGossip(contact)));
  }

  /**
   * Reports a later incarnation of this VM. Two processes must not serve under
   * the same VM name, so the earlier one stops.
   */
  #reportReplaced(later: Incarnation): void {
    if (this.#isReplaced) return;
    this.#isReplaced = true;
    this.#context.log.warn(LogEvent.Replaced, { later });
    this.#onReplaced();
  }

  /** Joins again, as at the start, while this VM is isolated. */
  async #rejoinIfIsolated(): Promise<void> {
    if (this.listPeers().length > 0) {
      this.#isolatedRounds = 0;
      return;
    }
    if (this.#isolatedRounds++ % ISOLATED_ROUNDS === 0) await this.join();
  }

  async #sendGossip(contact: GossipContact): Promise<void> {
    const answered = await this.#exchange(contact.address, contact.message);
    if (answered || contact.purpose !== GossipPurpose.Probe) return;
    const { vm } = contact;
    const helpers = planIndirectProbes(this.#read(), {
      vm,
      random: this.#context.random,
    });
    const probeResults = await Promise.all(
      helpers.map((helper) =>
        this.#client.probe(helper.peerAddress, contact.address)
      ),
    );
    if (probeResults.some((each) => each.orDefault(false))) return;
    const now = this.#readTime();
    this.#change((view) => recordProbeFailed(view, { vm, now }));
  }

  /** Exchanges gossip with a peer; returns whether the peer answered. */
  async #exchange(address: string, message: GossipMessage): Promise<boolean> {
    const gossip = addMembershipMessage(this.#gossip.create(), message);
    const answer = await this.#client.exchangeNews(address, gossip);
    return answer.caseOf({
      Left: () => false,
      Right: (reply) => {
        this.#gossip.apply(reply);
        const received = readMembershipMessage(reply);
        if (received === undefined) return true;
        const now = this.#readTime();
        this.#change((view) => receiveGossip(view, { message: received, now }));
        return true;
      },
    });
  }

  async #contactSeeds(): Promise<void> {
    const { seeds } = this.#context.settings;
    const message = planReply(this.#read(), createSelfMessage(this.#read()));
    await Promise.all(seeds.map((seed) => this.#exchange(seed, message)));
  }

  async #readHeartbeats(): Promise<void> {
    const limit = HEARTBEAT_PAGE;
    const page = await this.#context.table.scan(HEARTBEAT_PREFIX, { limit });
    const rows = page.toMaybe().extract()?.rows;
    if (rows === undefined) return;
    const updates = listHeartbeatUpdates(rows);
    const now = this.#readTime();
    this.#change((view) => applyHeartbeatRows(view, { updates, now }));
  }

  #recordUnlisted(listed: ReadonlySet<VmId>, now: MonotonicTime): void {
    for (const vm of listed) this.#unlistedSince.delete(vm);
    const known = [...this.#read().members.values()].map((each) => each.vm);
    for (const vm of listAbsent(known, listed)) {
      if (!this.#unlistedSince.has(vm)) this.#unlistedSince.set(vm, now);
    }
  }

  async #writeHeartbeat(): Promise<void> {
    const { writer, clock, settings } = this.#context;
    const self = this.#read().members.get(settings.vm);
    if (self === undefined) return;
    const operation = createHeartbeat(self, {
      number: ++this.#heartbeatNumber,
      wallTime: clock.readWall(),
    });
    const giveUpAt = clock.readMonotonic() +
      settings.intervals.heartbeatMillis;
    const written = await writer.run(operation, { giveUpAt });
    const later = written.toMaybe().extract()?.replacedBy;
    if (later !== undefined) this.#reportReplaced(later);
  }

  async #readVmList(): Promise<void> {
    const listed = (await this.#context.vmList?.list())?.toMaybe().extract();
    if (listed === undefined) return;
    const members = listed.map((vm) => ({
      vm: vm.id,
      leaving: vm.state === ListedVmState.Leaving,
    }));
    const now = this.#readTime();
    this.#onListed(listed);
    this.#recordUnlisted(new Set(listed.map((vm) => vm.id)), now);
    this.#change((view) => applyVmList(view, { listed: members, now }));
  }
}

/** Returns the known VMs that are not on the list. */
function listAbsent(
  known: Iterable<VmId>,
  listed: ReadonlySet<VmId>,
): VmId[] {
  return [...known].filter((vm) => !listed.has(vm));
}

function createSelf(context: NodeContext, addresses: OwnAddresses): Member {
  const { settings, incarnation, clock, kernel } = context;
  return {
    vm: settings.vm,
    incarnation,
    state: MemberState.Live,
    region: settings.region,
    dataCentre: settings.dataCentre,
    ...addresses,
    documentVersion: kernel.read(CONFIGURATION).version,
    heardAt: clock.readMonotonic(),
  };
}

/**
 * Returns a message as if from this VM to itself. The planned reply to it is
 * this VM's first message to a seed, whose VM it does not know yet.
 */
function createSelfMessage(view: MembershipView): GossipMessage {
  const self = view.members.get(view.self)!;
  const { vm, incarnation, state, documentVersion } = self;
  return {
    from: { vm, incarnation, state, documentVersion, refutation: 0 },
    digest: view.digest,
    updates: [],
  };
}

function addMembershipMessage(
  gossip: PeerGossip,
  message: GossipMessage,
): PeerGossip {
  const part = message as unknown as JsonValue;
  return {
    from: gossip.from,
    parts: { ...gossip.parts, [MEMBERSHIP_PART]: part } as PeerGossip["parts"],
  };
}

function readMembershipMessage(gossip: PeerGossip): GossipMessage | undefined {
  // A message that does not parse, as one from another build, is ignored.
  return parseGossip(gossip.parts[MEMBERSHIP_PART]).toMaybe().extract();
}
