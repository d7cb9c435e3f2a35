/**
 * Buffers bills and writes them to the store in batches; each bill is kept in
 * memory until it is durable.
 *
 * One batch is written at a time, so that bills which accumulate in an outage are
 * written as a few large rows. The pause between batches grows with the number of
 * VMs, which bounds the rows per second of the whole fleet.
 */
import { combineUndo, type Millis, type Undo } from "../../core/mod.ts";
import {
  type Bill,
  createBillBatch,
  planBillBatches,
} from "../../request/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  LogEvent,
  startOnDemand,
} from "../../runtime/mod.ts";
import type { NodeContext } from "../node_context.ts";

/** Maximum time that the end of an answer waits until its bill is confirmed. */
export const MAX_BILL_WAIT: Millis = 250;

/** Pause between batches per live VM: at most 100 rows/s in the whole fleet. */
const PAUSE_PER_VM: Millis = 10;

/** A bill that is not durable yet. */
interface WaitingBill {
  readonly number: number;
  readonly bill: Bill;
  /** Called when the store or a peer has the bill. */
  confirm(): void;
}

/** Sends copies of bills to a peer, and receives which bills are durable. */
export interface BillCopySink {
  send(
    bill: { readonly number: number; readonly bill: Bill },
    confirm: () => void,
  ): void;
  recordDurable(numbers: readonly number[]): void;
}

/** Collects bills and writes them to the store in batches. */
export class BillLog {
  readonly #context: NodeContext;
  readonly #countVms: () => number;
  #waiting: WaitingBill[] = [];
  #writing: readonly WaitingBill[] = [];
  #batchNumber = 0;
  #billNumber = 0;
  #copies: BillCopySink | undefined;
  #process: BackgroundProcess | undefined;
  #lastBatchAt = -Infinity;

  constructor(context: NodeContext, countVms: () => number) {
    this.#context = context;
    this.#countVms = countVms;
  }

  /** Registers the state dump and starts the process that writes batches. */
  register(): Undo {
    const { kernel, log } = this.#context;
    this.#process = startOnDemand({
      computeWait: () => this.#computeWait(),
      run: () => this.#writeBatch(),
      reportError: createErrorReporter(log, "bills"),
    });
    return combineUndo([
      kernel.registerDump("bills", () => ({ waiting: this.countWaiting() })),
      this.#process.stop,
    ]);
  }

  /** Returns the number of bills that are not durable yet. */
  countWaiting(): number {
    return this.#waiting.length + this.#writing.length;
  }

  /** Sets the sink for copies of bills. */
  setCopies(copies: BillCopySink): void {
    this.#copies = copies;
  }

  /**
   * Adds a bill; resolves when the store or a peer has it, or after
   * {@link MAX_BILL_WAIT}.
   */
  add(bill: Bill): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, MAX_BILL_WAIT);
      const confirm = () => {
        clearTimeout(timer);
        resolve();
      };
      const number = ++this.#billNumber;
      this.#waiting.push({ number, bill, confirm });
      this.#copies?.send({ number, bill }, confirm);
      this.#process?.wake();
    });
  }

  /** Writes all bills; resolves when they are durable. */
  async flush(): Promise<void> {
    while (this.countWaiting() > 0) {
      await this.#writeBatch();
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  #computeWait(): Millis {
    const { settings, clock } = this.#context;
    const pause = PAUSE_PER_VM * this.#countVms();
    const remaining = this.#lastBatchAt + pause - clock.readMonotonic();
    return Math.max(settings.intervals.flushMillis, remaining);
  }

  /** Writes one batch; returns true when more bills wait. */
  async #writeBatch(): Promise<boolean> {
    if (this.#waiting.length === 0 || this.#writing.length > 0) return false;
    this.#lastBatchAt = this.#context.clock.readMonotonic();
    const [bills = []] = planBillBatches(
      this.#waiting.map((each) => each.bill),
    );
    this.#writing = this.#waiting.splice(0, bills.length);
    const { settings, incarnation, writer, log, metrics } = this.#context;
    const operation = createBillBatch({
      vm: settings.vm,
      incarnation,
      number: ++this.#batchNumber,
      bills,
    });
    const written = await writer.run(operation, { giveUpAt: Infinity });
    const batch = this.#writing;
    this.#writing = [];
    metrics.billsWaiting.set(this.countWaiting());
    if (written.isLeft()) {
      // A bill counts once, by its identity, so writing it again is safe.
      this.#waiting.unshift(...batch);
      return true;
    }
    for (const each of batch) each.confirm();
    this.#copies?.recordDurable(batch.map((each) => each.number));
    log.info(LogEvent.BillsFlushed, { bills: batch.length });
    return this.#waiting.length > 0;
  }
}
