/**
 * Bills on their way to the table: kept until they are durable.
 *
 * One batch is on its way at a time, so that an outage makes few large rows of
 * many bills, and the pause between batches grows with the number of VMs, so
 * that the fleet's rows per second stay bounded.
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

/** Longest time the end of an answer waits for its bill, in milliseconds. */
export const MAX_BILL_WAIT: Millis = 250;

/** Pause between batches for each live VM: 100 rows a second over the fleet. */
const PAUSE_PER_VM: Millis = 10;

interface WaitingBill {
  readonly number: number;
  readonly bill: Bill;
  confirm(): void;
}

/** Where copies of bills are sent until they are durable. */
export interface BillCopySink {
  send(
    bill: { readonly number: number; readonly bill: Bill },
    confirm: () => void,
  ): void;
  recordDurable(numbers: readonly number[]): void;
}

/** Collects bills and writes them in batches. */
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

  /** Registers the feature's dump and its periodic flush. */
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

  /** Sets where copies of bills are sent. */
  setCopies(copies: BillCopySink): void {
    this.#copies = copies;
  }

  /**
   * Adds a bill; resolves when the table or a peer has it, or after a bounded
   * wait.
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
    const rest = this.#lastBatchAt + pause - clock.readMonotonic();
    return Math.max(settings.intervals.flushMillis, rest);
  }

  /** Returns true when more bills wait. */
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
      // Bills are counted once by identity, so a second row does no harm.
      this.#waiting.unshift(...batch);
      return true;
    }
    for (const each of batch) each.confirm();
    this.#copies?.recordDurable(batch.map((each) => each.number));
    log.info(LogEvent.BillsFlushed, { bills: batch.length });
    return this.#waiting.length > 0;
  }
}
