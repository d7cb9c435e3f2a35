/**
 * Copies of bills in the memory of one peer until the store has the bills.
 *
 * A bill in the memory of two VMs survives the loss of either, so the end of an
 * answer need not wait for the store. When an incarnation of a VM has ended,
 * the peer writes its bills. A bill that is written twice counts once, by its
 * identity.
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

/** Maximum number of copies that a VM keeps for its peers. */
const MAX_KEPT_COPIES = 100_000;

/**
 * Time without a message from a peer after which this VM writes the peer's bills
 * as well.
 */
const PEER_MESSAGE_TIMEOUT: Millis = MILLIS_PER_HOUR;

/** Maximum number of unsent numbers of durable bills. */
const MAX_DURABLE_NUMBERS = 10_000;

/** Maximum number of bills in one message. */
const MAX_SENT_BILLS = 1_000;

/** A bill to be written to the store, with its number on this VM. */
export interface NumberedBill {
  readonly number: number;
  readonly bill: Bill;
}

interface SentBill extends NumberedBill {
  readonly confirm: () => void;
}

/** The bill copies kept for one incarnation of a peer, by number. */
interface KeptCopies {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly bills: Map<number, Bill>;
  lastMessageAt: MonotonicTime;
}

/** What the feature uses of other features. */
export interface BillCopyPorts {
  readonly client: PeerClient;
  /** Returns the peer to keep this VM's copies, or undefined without one. */
  readonly choosePeer: () => Peer | undefined;
  readonly hasIncarnationEnded: (vm: VmId, incarnation: Incarnation) => boolean;
  /** Adds a bill of another VM to those that this VM writes to the store. */
  readonly adoptBill: (bill: Bill) => void;
}

/** Sends copies of this VM's bills to a peer, and keeps copies for peers. */
export class BillCopies {
  readonly #context: NodeContext;
  readonly #ports: BillCopyPorts;
  readonly #kept = new Map<string, KeptCopies>();
  #toSend: SentBill[] = [];
  #durableNumbers: number[] = [];
  #sending = false;
  #peer: VmId | undefined;
  #keptCount = 0;

  constructor(context: NodeContext, ports: BillCopyPorts) {
    this.#context = context;
    this.#ports = ports;
  }

  /** Registers the state dump and starts the periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: settings.intervals.gossipMillis,
      random,
      run: () => this.#adoptOrphanedBills(),
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

  /** Sends a copy to the peer; calls `confirm` once the peer keeps it. */
  send(bill: NumberedBill, confirm: () => void): void {
    this.#toSend.push({ ...bill, confirm });
    void this.#sendBatches();
  }

  /** Records that the store has bills, so that their copies can be dropped. */
  recordDurable(numbers: readonly number[]): void {
    const done = new Set(numbers);
    this.#toSend = this.#toSend.filter((each) => !done.has(each.number));
    this.#durableNumbers.push(...numbers);
    const excess = this.#durableNumbers.length - MAX_DURABLE_NUMBERS;
    if (excess > 0) this.#durableNumbers.splice(0, excess);
  }

  /**
   * Keeps copies for a peer and drops those that it reports as durable. Throws
   * when too many copies would be kept.
   */
  keep(input: PeerBills): void {
    const key = `${input.vm}/${input.incarnation}`;
    const copies = this.#kept.get(key) ?? {
      vm: input.vm,
      incarnation: input.incarnation,
      bills: new Map<number, Bill>(),
      lastMessageAt: 0,
    };
    copies.lastMessageAt = this.#context.clock.readMonotonic();
    this.#kept.set(key, copies);
    if (this.#keptCount + input.bills.length > MAX_KEPT_COPIES) {
      throw new Error("Too many copies are kept here. Choose another peer.");
    }
    for (const { number, bill } of input.bills) copies.bills.set(number, bill);
    for (const number of input.durable) copies.bills.delete(number);
    this.#updateKeptCount();
  }

  /** Sends one message at a time; bills that arrive meanwhile join the next. */
  async #sendBatches(): Promise<void> {
    if (this.#sending) return;
    this.#sending = true;
    // Bills that arrive in the same event loop turn share a message.
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
    const durable = this.#durableNumbers.splice(0);
    const { settings, incarnation } = this.#context;
    const sent = await this.#ports.client.keepBills(peer.address, {
      vm: settings.vm,
      incarnation,
      bills: batch.map(({ number, bill }) => ({ number, bill })),
      durable,
    });
    if (sent.isLeft()) {
      // A failed copy is not sent again: the bill is written to the store anyway.
      // The numbers of durable bills are sent with the next message.
      this.#durableNumbers.unshift(...durable);
      return false;
    }
    for (const each of batch) each.confirm();
    return true;
  }

  #adoptOrphanedBills(): Promise<void> {
    const now = this.#context.clock.readMonotonic();
    for (const [key, copies] of this.#kept) {
      // A peer that has chosen another VM for its copies no longer reports here
      // which bills are durable, so its copies expire.
      const isExpired = now - copies.lastMessageAt > PEER_MESSAGE_TIMEOUT;
      const isEnded = this.#ports.hasIncarnationEnded(
        copies.vm,
        copies.incarnation,
      );
      if (!isEnded && !isExpired) continue;
      this.#kept.delete(key);
      for (const bill of copies.bills.values()) this.#ports.adoptBill(bill);
      if (copies.bills.size === 0) continue;
      this.#context.log.warn(LogEvent.BillsAdopted, {
        vm: copies.vm,
        bills: copies.bills.size,
      });
    }
    this.#updateKeptCount();
    return Promise.resolve();
  }

  #updateKeptCount(): void {
    this.#keptCount = 0;
    for (const kept of this.#kept.values()) this.#keptCount += kept.bills.size;
  }
}
