/**
 * This VM's view of the others: gossip rounds, probes, heartbeat rows and the
 * platform's list, all through the pure decisions of the membership package.
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
import type { NewsExchange } from "./news_exchange.ts";

type ViewChange = (view: MembershipView) => MembershipView;

const CHANGE_VIEW: CommandType<ViewChange, MembershipView> = createCommand(
  "membership.change",
);

/** Name of the membership's part of the news. */
const NEWS_PART = "membership";

/** Rows read at once when the heartbeats are listed. */
const HEARTBEAT_PAGE = 500;

/** Rounds after which a VM that knows nobody reads the heartbeat rows again. */
const LONELY_ROUNDS = 5;

/** Longest wait when news is pushed to every peer. */
const PUSH_TIMEOUT: Millis = 200;

/** Addresses of this VM's faces. */
export interface OwnAddresses {
  readonly peerAddress: string;
  readonly callerAddress: string;
}

/** Follows the other entry VMs. */
export class Membership {
  readonly #context: NodeContext;
  readonly #client: PeerClient;
  readonly #news: NewsExchange;
  readonly #slice: SliceType<MembershipView>;
  readonly #onReplaced: () => void;
  readonly #onListed: (listed: readonly ListedVm[]) => void;
  #isReplaced = false;
  #heartbeatNumber = 0;
  #lonelyRounds = 0;
  /** When the platform's list was first read without a VM on it. */
  readonly #unlistedSince = new Map<VmId, MonotonicTime>();

  constructor(
    context: NodeContext,
    input: {
      readonly client: PeerClient;
      readonly news: NewsExchange;
      readonly addresses: OwnAddresses;
      /** Is called once when a later life of this VM is known. */
      readonly onReplaced: () => void;
      /** Is given the platform's list each time that it was read. */
      readonly onListed: (listed: readonly ListedVm[]) => void;
    },
  ) {
    this.#onListed = input.onListed;
    this.#onReplaced = input.onReplaced;
    this.#context = context;
    this.#client = input.client;
    this.#news = input.news;
    const { addresses } = input;
    this.#slice = {
      name: "membership",
      createInitial: () => createMembershipView(createSelf(context, addresses)),
    };
  }

  /** Registers the feature's command, dump and periodic work. */
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

  /** Learns of others before the first request is served. */
  async join(): Promise<void> {
    await Promise.all([this.#readHeartbeats(), this.#askSeeds()]);
  }

  /** Takes a peer's news and returns this VM's. */
  answerNews(news: PeerGossip): PeerGossip {
    this.#news.apply(news);
    const received = readGossip(news);
    const own = this.#news.create();
    if (received === undefined) return own;
    const now = this.#readTime();
    const view = this.#change((before) =>
      receiveGossip(before, { message: received, now })
    );
    const message = planReply(view, received);
    this.#change((before) => recordReplySent(before, message));
    return addGossip(own, message);
  }

  /** Sends this VM's news to every live peer; waits a bounded time. */
  async pushNews(): Promise<void> {
    const news = this.#news.create();
    const sent = this.listPeers().map((peer) =>
      this.#client.exchangeNews(peer.address, news)
    );
    const timeout = new Promise((resolve) => setTimeout(resolve, PUSH_TIMEOUT));
    await Promise.race([Promise.all(sent), timeout]);
  }

  /** Returns the peers that are not believed dead, the own region's first. */
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
   * Returns the peer that keeps copies for this VM: one of another data centre
   * of the region if there is one. It stays the same while the view does.
   */
  chooseBackup(): Peer | undefined {
    const { vm, region, dataCentre } = this.#context.settings;
    const near = [...this.#read().members.values()]
      .filter((member) => member.vm !== vm && member.region === region)
      .filter((member) => member.state === MemberState.Live);
    const apart = near.filter((member) => member.dataCentre !== dataCentre);
    const pool = apart.length > 0 ? apart : near;
    const [best] = rankMembers(`backup/${vm}`, pool.map((each) => each.vm));
    const member = pool.find((each) => each.vm === best);
    return member === undefined
      ? undefined
      : { vm: member.vm, address: member.peerAddress };
  }

  /** Returns the view as it is. */
  readView(): MembershipView {
    return this.#read();
  }

  /** Returns how long the platform's list has been without a VM, if it is. */
  readUnlistedFor(vm: VmId): Millis | undefined {
    const since = this.#unlistedSince.get(vm);
    return since === undefined ? undefined : this.#readTime() - since;
  }

  /** Returns a member, if it is known. */
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

  /** Returns this region's home VMs of an event, best first. */
  listHomes(event: EventConfig): readonly VmId[] {
    const { region } = this.#context.settings;
    return chooseHomes(this.#read(), {
      eventId: event.id,
      region,
      homes: event.homes,
    });
  }

  /**
   * Says whether this VM asks a target for its load: one VM of the target's
   * region does, or one of each region where the target's has no VM. The others
   * hear of it from their peers.
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

  /** Says whether the life of a VM is known to be over. */
  isLifeOver(vm: VmId, incarnation: Incarnation): boolean {
    const member = this.#read().members.get(vm);
    if (member === undefined) return true;
    return member.incarnation > incarnation ||
      (member.incarnation === incarnation &&
        member.state === MemberState.Dead);
  }

  /** Records the document version that is in force on this VM. */
  recordDocument(version: number): void {
    this.#change((view) => recordOwnDocumentVersion(view, version));
  }

  /** Tells the others that this VM is leaving. */
  async leave(): Promise<void> {
    const now = this.#readTime();
    this.#change((view) => recordLeaving(view, { now }));
    await this.#runRound();
  }

  /** Removes this VM's heartbeat row, as the last act of a planned stop. */
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
    await this.#meetOthersIfLonely();
    await Promise.all(contacts.map((contact) => this.#contact(contact)));
  }

  /** Two processes must not serve under one name: the earlier one stops. */
  #reportReplaced(later: Incarnation): void {
    if (this.#isReplaced) return;
    this.#isReplaced = true;
    this.#context.log.warn(LogEvent.Replaced, { later });
    this.#onReplaced();
  }

  /** A VM that knows nobody looks for others where it did at its start. */
  async #meetOthersIfLonely(): Promise<void> {
    if (this.listPeers().length > 0) {
      this.#lonelyRounds = 0;
      return;
    }
    if (this.#lonelyRounds++ % LONELY_ROUNDS === 0) await this.join();
  }

  async #contact(contact: GossipContact): Promise<void> {
    const answered = await this.#exchange(contact.address, contact.message);
    if (answered || contact.purpose !== GossipPurpose.Probe) return;
    const { vm } = contact;
    const helpers = planIndirectProbes(this.#read(), {
      vm,
      random: this.#context.random,
    });
    const seen = await Promise.all(
      helpers.map((helper) =>
        this.#client.probe(helper.peerAddress, contact.address)
      ),
    );
    if (seen.some((each) => each.orDefault(false))) return;
    const now = this.#readTime();
    this.#change((view) => recordProbeFailed(view, { vm, now }));
  }

  /** Returns whether the peer answered. */
  async #exchange(address: string, message: GossipMessage): Promise<boolean> {
    const news = addGossip(this.#news.create(), message);
    const answer = await this.#client.exchangeNews(address, news);
    return answer.caseOf({
      Left: () => false,
      Right: (reply) => {
        this.#news.apply(reply);
        const received = readGossip(reply);
        if (received === undefined) return true;
        const now = this.#readTime();
        this.#change((view) => receiveGossip(view, { message: received, now }));
        return true;
      },
    });
  }

  async #askSeeds(): Promise<void> {
    const { seeds } = this.#context.settings;
    const message = planReply(this.#read(), createQuestion(this.#read()));
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

/** Ids that were ever listed or met and are not on the list now. */
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

/** Returns a message as if this VM had asked itself for everything it knows. */
function createQuestion(view: MembershipView): GossipMessage {
  const self = view.members.get(view.self)!;
  const { vm, incarnation, state, documentVersion } = self;
  return {
    from: { vm, incarnation, state, documentVersion, refutation: 0 },
    digest: view.digest,
    updates: [],
  };
}

function addGossip(news: PeerGossip, message: GossipMessage): PeerGossip {
  const part = message as unknown as JsonValue;
  return {
    from: news.from,
    parts: { ...news.parts, [NEWS_PART]: part } as PeerGossip["parts"],
  };
}

function readGossip(news: PeerGossip): GossipMessage | undefined {
  // What does not parse, as from another build, is passed over.
  return parseGossip(news.parts[NEWS_PART]).toMaybe().extract();
}
