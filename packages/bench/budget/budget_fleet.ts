/**
 * A small fleet that keeps budgets: VMs in two regions, the table in the first
 * of them, a link that can be cut, and a ledger that knows the truth.
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

/** The region that has the table. */
export const STORE_REGION: RegionId = "near";

/** The other region. */
export const FAR_REGION: RegionId = "far";

const NEAR_VMS = ["near-1", "near-2", "near-3", "near-4", "near-5"];
const FAR_VMS = ["far-1", "far-2", "far-3"];
const STORE_LATENCY: Millis = 6;
const GROUP_DELAY: Millis = 20;
const NEAR_DELAY: Millis = 0.5;
const FAR_DELAY: Millis = 30;
const TABLE_WRITES_PER_SECOND = 400;
const TABLE_READS_PER_SECOND = 2_000;
const LOST_ANSWERS = 0.002;

/** What goes wrong in a run. */
export interface FleetFaults {
  /** Spans in which the table is down. */
  readonly outages: readonly TimeWindow[];
  /** Spans in which the regions lose each other. */
  readonly partitions: readonly TimeWindow[];
}

/** One event's truth. */
export interface LedgerEntry {
  limit: Tokens;
  /** Tokens that engines used. */
  spent: Tokens;
  /** Bounds of requests in progress. */
  held: Tokens;
}

/** One life of one VM. */
interface LiveVm {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly life: number;
  readonly node: BudgetNode;
  isAlive: boolean;
}

/** The fleet under one policy. */
export class BudgetFleet {
  readonly table: TimedTable;
  readonly ledger = new Map<EventId, LedgerEntry>();
  readonly #clock: VirtualClock;
  readonly #random: SeededRandom;
  readonly #policy: BudgetPolicy;
  readonly #faults: FleetFaults;
  readonly #vms = new Map<VmId, LiveVm>();
  readonly #events: readonly SampleEvent[];

  constructor(input: {
    readonly clock: VirtualClock;
    readonly random: SeededRandom;
    readonly policy: BudgetPolicy;
    readonly faults: FleetFaults;
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
      writesPerSecond: TABLE_WRITES_PER_SECOND,
      readsPerSecond: TABLE_READS_PER_SECOND,
      outages: input.faults.outages,
      lostAnswerProbability: LOST_ANSWERS,
    });
    for (const event of input.events) {
      this.ledger.set(event.id, { limit: event.limit, spent: 0, held: 0 });
    }
    for (const vm of NEAR_VMS) this.#startVm(vm, STORE_REGION, 1);
    for (const vm of FAR_VMS) this.#startVm(vm, FAR_REGION, 1);
  }

  /** Chooses the VM that a request of a region comes to. */
  chooseVm(region: RegionId, eventId: EventId): VmId {
    const live = [...this.#vms.values()]
      .filter((each) => each.isAlive && each.region === region)
      .map((each) => each.vm);
    if (!this.#policy.usesHomes) return this.#random.choose(live);
    return rankMembers(eventId, live)[0]!;
  }

  /** Asks a VM to hold tokens; `onEnd` gets undefined for a refusal. */
  reserve(
    vm: VmId,
    input: {
      readonly event: SampleEvent;
      readonly tokens: Tokens;
      readonly onEnd: (held: FleetHold | undefined) => void;
    },
  ): void {
    const live = this.#vms.get(vm)!;
    const entry = this.ledger.get(input.event.id)!;
    live.node.reserve(input.event, input.tokens, (held) => {
      if (held === undefined) return input.onEnd(undefined);
      entry.held += held.tokens;
      input.onEnd({ held, live });
    });
  }

  /** Ends a request; a VM that has died meanwhile settles nothing. */
  settle(hold: FleetHold, spent: Tokens): void {
    const { held, live } = hold;
    const entry = this.ledger.get(held.eventId)!;
    entry.held -= held.tokens;
    entry.spent += spent;
    if (live.isAlive) live.node.settle(held, spent);
  }

  /** Returns the tokens that a VM could get at for an event, loans included. */
  readReachable(vm: VmId, eventId: EventId): Tokens {
    const now = this.#clock.readMonotonic();
    const self = this.#vms.get(vm)!;
    const rooms = [...this.#vms.values()]
      .filter((each) => each.isAlive && this.#isLinked(self, each.region))
      .reduce((sum, each) => sum + each.node.readRoom(eventId), 0);
    const hasTable = this.#isLinked(self, STORE_REGION) &&
      !isWithin(this.#faults.outages, now);
    return rooms + (hasTable ? computeBudgetLeft(this.readRow(eventId)) : 0);
  }

  /** Returns the tokens of an event that live VMs can still spend or return. */
  readHeld(eventId: EventId): Tokens {
    return [...this.#vms.values()]
      .filter((each) => each.isAlive)
      .reduce((sum, each) => sum + each.node.readRoom(eventId), 0);
  }

  /** Kills a VM and starts its next life after a while. */
  restartVm(vm: VmId, downTime: Millis): void {
    const lost = this.#vms.get(vm)!;
    lost.isAlive = false;
    this.#clock.schedule(downTime, () => {
      const next = this.#startVm(vm, lost.region, lost.life + 1);
      for (const event of this.#events) this.#writeOff(next, event);
    });
  }

  /** Raises an event's limit at the table. */
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

  #startVm(vm: VmId, region: RegionId, life: number): LiveVm {
    const random = this.#random.createBranch(`${vm}/${life}`);
    // The node needs its VM and the VM its node, so the VM is filled in after.
    const live = { vm, region, life, isAlive: true } as
      & { -readonly [Key in keyof LiveVm]: LiveVm[Key] }
      & { node: BudgetNode };
    live.node = this.#policy.createNode({
      vm,
      incarnation: String(life),
      region,
      clock: this.#clock,
      random: random.uniform,
      writer: this.#createWriter(live),
      vmCount: NEAR_VMS.length + FAR_VMS.length,
      schedule: (delay, action) =>
        this.#clock.schedule(delay, () => live.isAlive && action()),
      send: (to, message) => this.#send(live, to, message),
      listPeers: () => this.#listPeers(live),
    });
    this.#vms.set(vm, live);
    return live;
  }

  #createWriter(live: LiveVm): StoreWriter {
    return new StoreWriter({
      table: this.#createPort(live),
      clock: this.#clock,
      random: this.#random.createBranch(`writer/${live.vm}/${live.life}`)
        .uniform,
      sleep: (duration) => this.#clock.wait(duration),
      groupDelay: GROUP_DELAY,
    });
  }

  /** The table as a VM sees it: farther away, or not there at all. */
  #createPort(live: LiveVm): TablePort {
    const table = this.table;
    const reach = async <Result>(call: () => Promise<Result>) => {
      if (live.region !== STORE_REGION) await this.#clock.wait(2 * FAR_DELAY);
      if (live.isAlive && this.#isLinked(live, STORE_REGION)) {
        return await call();
      }
      return Left(
        createPlatformError(PlatformErrorKind.NotDone, "table out of reach"),
      );
    };
    return {
      read: (keys) => reach(() => table.read(keys)),
      scan: (prefix, options) => reach(() => table.scan(prefix, options)),
      transact: (transaction) => reach(() => table.transact(transaction)),
    };
  }

  #isLinked(live: LiveVm, region: RegionId): boolean {
    const now = this.#clock.readMonotonic();
    return live.region === region || !isWithin(this.#faults.partitions, now);
  }

  #send(from: LiveVm, to: VmId, message: unknown): void {
    const target = this.#vms.get(to);
    if (target === undefined || !from.isAlive) return;
    const delay = from.region === target.region ? NEAR_DELAY : FAR_DELAY;
    if (!this.#isLinked(from, target.region)) return;
    this.#clock.schedule(delay, () => {
      if (target.isAlive) target.node.receive(from.vm, message);
    });
  }

  /** Peers by the heartbeats heard: a cut link shows within a moment. */
  #listPeers(live: LiveVm): VmId[] {
    const others = [...this.#vms.values()].filter((each) =>
      each.isAlive && each.vm !== live.vm && this.#isLinked(live, each.region)
    );
    const isNear = (each: LiveVm) => each.region === live.region ? 0 : 1;
    return others
      .sort((left, right) => isNear(left) - isNear(right))
      .map((each) => each.vm);
  }

  /** The new life's heartbeat is the evidence that the old one is over. */
  #writeOff(next: LiveVm, event: SampleEvent): void {
    const writer = this.#createWriter(next);
    createWriteOff({
      eventId: event.id,
      evidence: {
        kind: LossEvidenceKind.LaterLife,
        vm: next.vm,
        incarnation: String(next.life),
      },
      initialLimit: event.limit,
      wallTime: this.#clock.readWall(),
    }).ifRight((operation) =>
      void writer.run(operation, { giveUpAt: Infinity })
    );
  }
}

/** Tokens held at one VM. */
export interface FleetHold {
  readonly held: HeldTokens;
  readonly live: { readonly isAlive: boolean; readonly node: BudgetNode };
}

/** When a fault starts and ends, for cases. */
export function createWindow(start: MonotonicTime, length: Millis): TimeWindow {
  return { start, end: start + length };
}
