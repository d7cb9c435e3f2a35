/**
 * Simulates a small fleet that enforces budgets: VMs in two regions, the store
 * in the first region, a link between the regions that can fail, and a ledger
 * of the tokens that were actually spent.
 */
import {
  type EventId,
  type JsonValue,
  type Millis,
  type MonotonicTime,
  PlatformErrorKind,
  type RegionId,
  type Tokens,
  type VmId,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  createBudgetRow,
  createTopUp,
  createWriteOff,
  formatBudgetKey,
  LossEvidenceKind,
  parseBudgetRow,
} from "../../budget/mod.ts";
import {
  createPlatformError,
  StoreWriter,
  type TablePort,
} from "../../ports/mod.ts";
import { Left } from "purify-ts";
import { rankMembers } from "../../core/mod.ts";
import type { SeededRandom } from "../harness/random.ts";
import {
  isWithin,
  TimedTable,
  type TimeWindow,
} from "../harness/timed_table.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";
import type {
  BudgetNode,
  BudgetPolicy,
  HeldTokens,
  SampleEvent,
} from "./budget_node.ts";

/** The region in which the store is. */
export const STORE_REGION: RegionId = "near";

/** The region that reaches the store over the link. */
export const FAR_REGION: RegionId = "far";

const NEAR_VMS = ["near-1", "near-2", "near-3", "near-4", "near-5"];
const FAR_VMS = ["far-1", "far-2", "far-3"];
const STORE_LATENCY: Millis = 6;
/** Time for which a writer collects operations into one transaction. */
const GROUP_COMMIT_DELAY: Millis = 20;
/** One-way delay of messages within a region. */
const NEAR_DELAY: Millis = 0.5;
/** One-way delay of messages between the regions. */
const FAR_DELAY: Millis = 30;
const STORE_WRITES_PER_SECOND = 400;
const STORE_READS_PER_SECOND = 2_000;
/** Share of transactions whose answer is lost after they took effect. */
const LOST_ANSWER_SHARE = 0.002;

/** Faults of a run. */
export interface BudgetFaults {
  /** Time windows in which the store is down. */
  readonly outages: readonly TimeWindow[];
  /** Time windows in which the regions cannot reach each other. */
  readonly partitions: readonly TimeWindow[];
}

/** Actual totals of one event, independent of what VMs and the store record. */
export interface LedgerEntry {
  limit: Tokens;
  /** Tokens that engines have used. */
  spent: Tokens;
  /** Sum of the upper bounds of requests in progress. */
  held: Tokens;
}

/** One incarnation of a VM. */
interface VmInstance {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly incarnation: number;
  readonly node: BudgetNode;
  isAlive: boolean;
}

/** The simulated fleet under one policy. */
export class BudgetFleet {
  readonly table: TimedTable;
  readonly ledger = new Map<EventId, LedgerEntry>();
  readonly #clock: VirtualClock;
  readonly #random: SeededRandom;
  readonly #policy: BudgetPolicy;
  readonly #faults: BudgetFaults;
  readonly #vms = new Map<VmId, VmInstance>();
  readonly #events: readonly SampleEvent[];

  constructor(input: {
    readonly clock: VirtualClock;
    readonly random: SeededRandom;
    readonly policy: BudgetPolicy;
    readonly faults: BudgetFaults;
    readonly events: readonly SampleEvent[];
  }) {
    this.#clock = input.clock;
    this.#random = input.random;
    this.#policy = input.policy;
    this.#faults = input.faults;
    this.#events = input.events;
    this.table = new TimedTable({
      clock: input.clock,
      random: input.random.createBranch("table"),
      latency: STORE_LATENCY,
      writesPerSecond: STORE_WRITES_PER_SECOND,
      readsPerSecond: STORE_READS_PER_SECOND,
      outages: input.faults.outages,
      lostAnswerProbability: LOST_ANSWER_SHARE,
    });
    for (const event of input.events) {
      this.ledger.set(event.id, { limit: event.limit, spent: 0, held: 0 });
    }
    for (const vm of NEAR_VMS) this.#startVm(vm, STORE_REGION, 1);
    for (const vm of FAR_VMS) this.#startVm(vm, FAR_REGION, 1);
  }

  /**
   * Chooses the VM that receives a request in a region: the event's home VM if
   * the policy uses home VMs, and a random VM otherwise.
   */
  chooseVm(region: RegionId, eventId: EventId): VmId {
    const liveVms = [...this.#vms.values()]
      .filter((each) => each.isAlive && each.region === region)
      .map((each) => each.vm);
    if (!this.#policy.usesHomes) return this.#random.choose(liveVms);
    return rankMembers(eventId, liveVms)[0]!;
  }

  /** Reserves tokens at a VM; `onEnd` gets undefined when it refuses. */
  reserve(
    vm: VmId,
    input: {
      readonly event: SampleEvent;
      readonly tokens: Tokens;
      readonly onEnd: (held: VmHeldTokens | undefined) => void;
    },
  ): void {
    const self = this.#vms.get(vm)!;
    const entry = this.ledger.get(input.event.id)!;
    self.node.reserve(input.event, input.tokens, (held) => {
      if (held === undefined) return input.onEnd(undefined);
      entry.held += held.tokens;
      input.onEnd({ held, instance: self });
    });
  }

  /** Ends a request. A VM that has died in the meantime settles nothing. */
  settle(vmHeld: VmHeldTokens, spent: Tokens): void {
    const { held, instance: self } = vmHeld;
    const entry = this.ledger.get(held.eventId)!;
    entry.held -= held.tokens;
    entry.spent += spent;
    if (self.isAlive) self.node.settle(held, spent);
  }

  /**
   * Returns the tokens of an event that a VM could obtain: what is available at
   * the VMs that it can reach, and what the store has left if it is reachable.
   */
  readReachableTokens(vm: VmId, eventId: EventId): Tokens {
    const now = this.#clock.readMonotonic();
    const self = this.#vms.get(vm)!;
    const availableAtVms = [...this.#vms.values()]
      .filter((each) => each.isAlive && this.#canReach(self, each.region))
      .reduce((sum, each) => sum + each.node.readRoom(eventId), 0);
    const canReachStore = this.#canReach(self, STORE_REGION) &&
      !isWithin(this.#faults.outages, now);
    return availableAtVms +
      (canReachStore ? computeBudgetLeft(this.readRow(eventId)) : 0);
  }

  /**
   * Returns the tokens of an event that running VMs can still spend or return.
   */
  readUnspentTokens(eventId: EventId): Tokens {
    return [...this.#vms.values()]
      .filter((each) => each.isAlive)
      .reduce((sum, each) => sum + each.node.readRoom(eventId), 0);
  }

  /** Kills a VM and starts its next incarnation after a down time. */
  restartVm(vm: VmId, downTime: Millis): void {
    const lost = this.#vms.get(vm)!;
    lost.isAlive = false;
    this.#clock.schedule(downTime, () => {
      const next = this.#startVm(vm, lost.region, lost.incarnation + 1);
      for (const event of this.#events) this.#writeOff(next, event);
    });
  }

  /** Raises an event's limit in the store. */
  topUp(event: SampleEvent, tokens: Tokens): void {
    const writer = this.#createWriter(this.#vms.get(NEAR_VMS[0]!)!);
    const operation = createTopUp({
      eventId: event.id,
      topUpId: "top-up-1",
      tokens,
      initialLimit: event.limit,
      wallTime: 0,
    });
    void writer.run(operation, { giveUpAt: Infinity }).then((answer) =>
      answer.ifRight(() => void (this.ledger.get(event.id)!.limit += tokens))
    );
  }

  /** Returns an event's row as it stands. */
  readRow(eventId: EventId): BudgetRow {
    const value: JsonValue | undefined = this.table.memory
      .peek(formatBudgetKey(eventId))?.value;
    if (value !== undefined) return parseBudgetRow(value).unsafeCoerce();
    const event = this.#events.find((each) => each.id === eventId);
    return createBudgetRow(event?.limit ?? 0);
  }

  #startVm(vm: VmId, region: RegionId, incarnation: number): VmInstance {
    const random = this.#random.createBranch(`${vm}/${incarnation}`);
    // The node and the VM refer to each other, so the node is set afterwards.
    const self = { vm, region, incarnation, isAlive: true } as
      & { -readonly [Key in keyof VmInstance]: VmInstance[Key] }
      & { node: BudgetNode };
    self.node = this.#policy.createNode({
      vm,
      incarnation: String(incarnation),
      region,
      clock: this.#clock,
      random: random.uniform,
      writer: this.#createWriter(self),
      vmCount: NEAR_VMS.length + FAR_VMS.length,
      schedule: (delay, action) =>
        this.#clock.schedule(delay, () => self.isAlive && action()),
      send: (to, message) => this.#send(self, to, message),
      listPeers: () => this.#listPeers(self),
    });
    this.#vms.set(vm, self);
    return self;
  }

  #createWriter(self: VmInstance): StoreWriter {
    return new StoreWriter({
      table: this.#createPort(self),
      clock: this.#clock,
      random: this.#random.createBranch(`writer/${self.vm}/${self.incarnation}`)
        .uniform,
      sleep: (duration) => this.#clock.wait(duration),
      groupDelay: GROUP_COMMIT_DELAY,
    });
  }

  /**
   * Creates a VM's access to the store, which adds the delay of the link and
   * fails while the store's region is unreachable.
   */
  #createPort(self: VmInstance): TablePort {
    const table = this.table;
    const reach = async <Result>(call: () => Promise<Result>) => {
      if (self.region !== STORE_REGION) await this.#clock.wait(2 * FAR_DELAY);
      if (self.isAlive && this.#canReach(self, STORE_REGION)) {
        return await call();
      }
      return Left(
        createPlatformError(PlatformErrorKind.NotDone, "store unreachable"),
      );
    };
    return {
      read: (keys) => reach(() => table.read(keys)),
      scan: (prefix, options) => reach(() => table.scan(prefix, options)),
      transact: (transaction) => reach(() => table.transact(transaction)),
    };
  }

  #canReach(self: VmInstance, region: RegionId): boolean {
    const now = this.#clock.readMonotonic();
    return self.region === region || !isWithin(this.#faults.partitions, now);
  }

  #send(from: VmInstance, to: VmId, message: unknown): void {
    const target = this.#vms.get(to);
    if (target === undefined || !from.isAlive) return;
    const delay = from.region === target.region ? NEAR_DELAY : FAR_DELAY;
    if (!this.#canReach(from, target.region)) return;
    this.#clock.schedule(delay, () => {
      if (target.isAlive) target.node.receive(from.vm, message);
    });
  }

  /**
   * Returns the reachable VMs, those of the same region first. Heartbeats show
   * a failed VM or link within a short time, so it is excluded at once here.
   */
  #listPeers(self: VmInstance): VmId[] {
    const others = [...this.#vms.values()].filter((each) =>
      each.isAlive && each.vm !== self.vm && this.#canReach(self, each.region)
    );
    const isNear = (each: VmInstance) => each.region === self.region ? 0 : 1;
    return others
      .sort((left, right) => isNear(left) - isNear(right))
      .map((each) => each.vm);
  }

  /**
   * Writes off the grants of the previous incarnation. The new incarnation is
   * the evidence that the previous one has ended.
   */
  #writeOff(next: VmInstance, event: SampleEvent): void {
    const writer = this.#createWriter(next);
    createWriteOff({
      eventId: event.id,
      evidence: {
        kind: LossEvidenceKind.LaterIncarnation,
        vm: next.vm,
        incarnation: String(next.incarnation),
      },
      initialLimit: event.limit,
      wallTime: this.#clock.readWall(),
    }).ifRight((operation) =>
      void writer.run(operation, { giveUpAt: Infinity })
    );
  }
}

/** Tokens reserved at one VM. */
export interface VmHeldTokens {
  readonly held: HeldTokens;
  readonly instance: { readonly isAlive: boolean; readonly node: BudgetNode };
}

/** Creates a time window from its start and length. */
export function createWindow(start: MonotonicTime, length: Millis): TimeWindow {
  return { start, end: start + length };
}
