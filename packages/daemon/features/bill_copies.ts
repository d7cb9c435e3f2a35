/**
 * Copies of bills in the memory of one peer, until the table has them.
 *
 * A bill in two VMs' memories outlives the loss of either, so the end of an
 * answer need not wait for the table. The peer writes the bills of a life that
 * is over; a bill that is written twice counts once, by its identity.
 */
import {
  combineUndo,
  type Incarnation,
  type Millis,
  MILLIS_PER_HOUR,
  type MonotonicTime,
  type Undo,
  type VmId,
} from "../../core/mod.ts";
import type { Peer } from "../../lending/mod.ts";
import type { PeerBills, PeerClient } from "../../peer/mod.ts";
import type { Bill } from "../../request/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import type { NodeContext } from "../node_context.ts";

/** Most copies that a VM keeps for others. */
const MAX_KEPT_COPIES = 100_000;

/** Copies of a peer that is silent for so long are written here, once more. */
const LONGEST_KEPT: Millis = MILLIS_PER_HOUR;

/** Most words on durable bills that wait for a message. */
const MAX_DURABLE_WORDS = 10_000;

/** Bills in one message. */
const MAX_SENT_BILLS = 1_000;

/** A bill on its way to the table. */
export interface NumberedBill {
  readonly number: number;
  readonly bill: Bill;
}

interface SentBill extends NumberedBill {
  readonly confirm: () => void;
}

interface KeptLife {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly bills: Map<number, Bill>;
  heardAt: MonotonicTime;
}

/** What the feature uses of others. */
export interface BillCopyPorts {
  readonly client: PeerClient;
  /** The peer that keeps this VM's copies; absent when there is none. */
  readonly choosePeer: () => Peer | undefined;
  readonly isLifeOver: (vm: VmId, incarnation: Incarnation) => boolean;
  /** Takes over the bill of a life that is over. */
  readonly adoptBill: (bill: Bill) => void;
}

/** Sends copies of this VM's bills and keeps those of others. */
export class BillCopies {
  readonly #context: NodeContext;
  readonly #ports: BillCopyPorts;
  readonly #kept = new Map<string, KeptLife>();
  #toSend: SentBill[] = [];
  #durable: number[] = [];
  #sending = false;
  #peer: VmId | undefined;
  #keptCount = 0;

  constructor(context: NodeContext, ports: BillCopyPorts) {
    this.#context = context;
    this.#ports = ports;
  }

  /** Registers the feature's dump and its periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: settings.intervals.gossipMillis,
      random,
      run: () => this.#adoptOrphans(),
      reportError: createErrorReporter(log, "bill_copies"),
    });
    return combineUndo([
      kernel.registerDump("billCopies", () => ({
        kept: this.#keptCount,
        peer: this.#peer ?? null,
      })),
      periodic.stop,
    ]);
  }

  /** Sends a copy to the peer; `confirm` is called when the peer has it. */
  send(bill: NumberedBill, confirm: () => void): void {
    this.#toSend.push({ ...bill, confirm });
    void this.#run();
  }

  /** Says that the table has bills, so that their copies can go. */
  recordDurable(numbers: readonly number[]): void {
    const done = new Set(numbers);
    this.#toSend = this.#toSend.filter((each) => !done.has(each.number));
    this.#durable.push(...numbers);
    const excess = this.#durable.length - MAX_DURABLE_WORDS;
    if (excess > 0) this.#durable.splice(0, excess);
  }

  /** Keeps copies for a peer. */
  keep(input: PeerBills): void {
    const key = `${input.vm}/${input.incarnation}`;
    const life = this.#kept.get(key) ?? {
      vm: input.vm,
      incarnation: input.incarnation,
      bills: new Map<number, Bill>(),
      heardAt: 0,
    };
    life.heardAt = this.#context.clock.readMonotonic();
    this.#kept.set(key, life);
    if (this.#keptCount + input.bills.length > MAX_KEPT_COPIES) {
      throw new Error("Too many copies are kept here. Choose another peer.");
    }
    for (const { number, bill } of input.bills) life.bills.set(number, bill);
    for (const number of input.durable) life.bills.delete(number);
    this.#countKept();
  }

  /** One message at a time; what comes meanwhile goes with the next. */
  async #run(): Promise<void> {
    if (this.#sending) return;
    this.#sending = true;
    // Bills that arrive in the same turn share a message.
    await new Promise((resolve) => setImmediate(resolve));
    while (this.#toSend.length > 0) {
      if (!(await this.#sendBatch())) break;
    }
    this.#sending = false;
  }

  async #sendBatch(): Promise<boolean> {
    const peer = this.#ports.choosePeer();
    this.#peer = peer?.vm;
    if (peer === undefined) return false;
    const batch = this.#toSend.splice(0, MAX_SENT_BILLS);
    const durable = this.#durable.splice(0);
    const { settings, incarnation } = this.#context;
    const sent = await this.#ports.client.keepBills(peer.address, {
      vm: settings.vm,
      incarnation,
      bills: batch.map(({ number, bill }) => ({ number, bill })),
      durable,
    });
    if (sent.isLeft()) {
      // A copy that failed is not sent again: the table will have the bill. The
      // word on durable ones goes with the next message.
      this.#durable.unshift(...durable);
      return false;
    }
    for (const each of batch) each.confirm();
    return true;
  }

  #adoptOrphans(): Promise<void> {
    const now = this.#context.clock.readMonotonic();
    for (const [key, life] of this.#kept) {
      // A peer that has chosen another backup never says what is durable.
      const old = now - life.heardAt > LONGEST_KEPT;
      const over = this.#ports.isLifeOver(life.vm, life.incarnation);
      if (!over && !old) continue;
      this.#kept.delete(key);
      for (const bill of life.bills.values()) this.#ports.adoptBill(bill);
      if (life.bills.size === 0) continue;
      this.#context.log.warn(LogEvent.BillsAdopted, {
        vm: life.vm,
        bills: life.bills.size,
      });
    }
    this.#countKept();
    return Promise.resolve();
  }

  #countKept(): void {
    this.#keptCount = 0;
    for (const life of this.#kept.values()) this.#keptCount += life.bills.size;
  }
}
