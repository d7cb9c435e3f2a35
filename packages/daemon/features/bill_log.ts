/** Bills on their way to the table: kept until they are durable. */
import { combineUndo, type Millis, type Undo } from "../../core/mod.ts";
import { type Bill, createBillBatch } from "../../request/mod.ts";
import { LogEvent } from "../event_log.ts";
import type { NodeContext } from "../node_context.ts";
import { type PeriodicProcess, startPeriodic } from "../processes.ts";

/** Most bills in one batch row. */
export const MAX_BATCH_BILLS = 200;

/** Longest time the end of an answer waits for its bill, in milliseconds. */
export const MAX_BILL_WAIT: Millis = 250;

interface WaitingBill {
  readonly bill: Bill;
  confirm(): void;
}

/** Collects bills and writes them in batches. */
export class BillLog {
  readonly #context: NodeContext;
  #waiting: WaitingBill[] = [];
  #writing = 0;
  #number = 0;
  #periodic: PeriodicProcess | undefined;

  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Registers the feature's dump and its periodic flush. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    this.#periodic = startPeriodic({
      interval: settings.intervals.flushMillis,
      random,
      run: () => this.#startFlush(),
      reportError: (error) =>
        log.error(LogEvent.ProcessFailed, {
          process: "bills",
          reason: String(error),
        }),
    });
    return combineUndo([
      kernel.registerDump("bills", () => ({ waiting: this.countWaiting() })),
      this.#periodic.stop,
    ]);
  }

  /** Returns the number of bills that are not durable yet. */
  countWaiting(): number {
    return this.#waiting.length + this.#writing;
  }

  /** Adds a bill; resolves when it is durable or after a bounded wait. */
  add(bill: Bill): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, MAX_BILL_WAIT);
      const confirm = () => {
        clearTimeout(timer);
        resolve();
      };
      this.#waiting.push({ bill, confirm });
    });
  }

  /** Writes all bills; resolves when they are durable. */
  async flush(): Promise<void> {
    while (this.countWaiting() > 0) {
      await this.#writeBatch();
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  #startFlush(): Promise<void> {
    void this.#writeBatch();
    return Promise.resolve();
  }

  /** A batch is never abandoned: the writer goes on until it is durable. */
  async #writeBatch(): Promise<void> {
    const batch = this.#waiting.splice(0, MAX_BATCH_BILLS);
    if (batch.length === 0) return;
    const { settings, incarnation, writer } = this.#context;
    this.#writing += batch.length;
    const operation = createBillBatch({
      vm: settings.vm,
      incarnation,
      number: ++this.#number,
      bills: batch.map((each) => each.bill),
    });
    await writer.run(operation, { giveUpAt: Infinity });
    this.#writing -= batch.length;
    for (const each of batch) each.confirm();
  }
}
