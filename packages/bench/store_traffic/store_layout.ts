/** How bills and claims become rows: as built, and as proposed. */
import type { JsonValue, Millis, RowOperation } from "../../core/mod.ts";
import type { StoreWriter } from "../../platform/mod.ts";
import { createFinishClaim, createTakeClaim } from "../../request/mod.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";

/** Takes the bills and claims of one VM. */
export interface StoreFace {
  /** Calls back when the claim is taken, with false when it was given up on. */
  takeClaim(requestKey: string, resolve: (taken: boolean) => void): void;
  finishClaim(requestKey: string): void;
  addBill(requestKey: string): void;
}

/** Surroundings of a face. */
export interface StoreFaceOptions {
  readonly vm: string;
  readonly clock: VirtualClock;
  readonly writer: StoreWriter;
  /** Time between two batches of bills. */
  readonly billInterval: Millis;
}

/** Longest wait for a claim. */
const CLAIM_DEADLINE: Millis = 10_000;

/** Bytes of a kept answer in a claim, as base64. */
const ANSWER = Buffer.from('{"confirmation":"c-1"}').toString("base64");

/** As built: a row for each claim, written twice, and a row for each batch of bills. */
export class RowPerClaimFace implements StoreFace {
  readonly #options: StoreFaceOptions;
  readonly #bills: BatchWriter;

  constructor(options: StoreFaceOptions) {
    this.#options = options;
    this.#bills = new BatchWriter("bills", {
      ...options,
      interval: options.billInterval,
    });
  }

  takeClaim(requestKey: string, resolve: (taken: boolean) => void): void {
    const { clock, writer } = this.#options;
    const giveUpAt = clock.readMonotonic() + CLAIM_DEADLINE;
    const operation = createTakeClaim(this.#createClaim(requestKey));
    void writer.run(operation, { giveUpAt }).then((answer) =>
      resolve(answer.isRight())
    );
  }

  finishClaim(requestKey: string): void {
    const answer = {
      status: 200,
      contentType: "application/json",
      bodyBase64: ANSWER,
    };
    const operation = createFinishClaim(this.#createClaim(requestKey), {
      state: "ran",
      answer,
      tokens: 10,
    });
    void this.#options.writer.run(operation, { giveUpAt: Infinity });
  }

  addBill(requestKey: string): void {
    this.#bills.add(requestKey);
  }

  #createClaim(requestKey: string) {
    const { vm, clock } = this.#options;
    return {
      customer: "customer",
      requestKey,
      digest: "0".repeat(64),
      vm,
      incarnation: "1",
      attempt: 1,
      wallTime: clock.readWall(),
    };
  }
}

/**
 * As proposed: the VMs of a region hand claims, their ends and bills to a gate,
 * one of them, which writes all that came within an interval as one row. Only
 * the rows that this makes are of interest here; which gate may write for a
 * key, and how it knows the claims of earlier gates, is described in
 * docs/CAPACITY.md.
 */
export class GateFace implements StoreFace {
  readonly #clock: VirtualClock;
  readonly #hop: Millis;
  readonly #log: BatchWriter;

  constructor(
    options: { readonly clock: VirtualClock; readonly hop: Millis },
    log: BatchWriter,
  ) {
    this.#clock = options.clock;
    this.#hop = options.hop;
    this.#log = log;
  }

  takeClaim(requestKey: string, resolve: (taken: boolean) => void): void {
    const giveUpAt = this.#clock.readMonotonic() + CLAIM_DEADLINE;
    this.#clock.schedule(this.#hop, () =>
      this.#log.add(requestKey, () => {
        const now = this.#clock.readMonotonic();
        this.#clock.schedule(this.#hop, () => resolve(now < giveUpAt));
      }));
  }

  finishClaim(requestKey: string): void {
    this.#clock.schedule(this.#hop, () => this.#log.add(requestKey));
  }

  addBill(requestKey: string): void {
    this.#clock.schedule(this.#hop, () => this.#log.add(requestKey));
  }
}

interface BatchEntry {
  readonly requestKey: string;
  readonly confirm: (() => void) | undefined;
}

/** Entries of about 150 bytes that fit a row of 64 KiB. */
const MAX_ENTRIES = 400;

/** Writes what came within an interval as rows of many entries. */
export class BatchWriter {
  readonly #prefix: string;
  readonly #options: {
    readonly vm: string;
    readonly clock: VirtualClock;
    readonly writer: StoreWriter;
  };
  #waiting: BatchEntry[] = [];
  #number = 0;
  #writing = 0;

  constructor(
    prefix: string,
    options: {
      readonly vm: string;
      readonly clock: VirtualClock;
      readonly writer: StoreWriter;
      readonly interval: Millis;
      /** Most rows on their way at once; unlimited if absent. */
      readonly mostOpen?: number;
    },
  ) {
    this.#prefix = prefix;
    this.#options = options;
    const mostOpen = options.mostOpen ?? Infinity;
    options.clock.scheduleEvery(options.interval, () => {
      if (this.#writing < mostOpen) void this.#writeBatch();
    });
  }

  /** Adds an entry; `confirm` runs once it is durable. */
  add(requestKey: string, confirm?: () => void): void {
    this.#waiting.push({ requestKey, confirm });
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#waiting.splice(0, MAX_ENTRIES);
    if (batch.length === 0) return;
    this.#writing++;
    const { vm, writer } = this.#options;
    const number = String(++this.#number).padStart(10, "0");
    const key = `${this.#prefix}/${vm}/${number}`;
    const entries = batch.map((each) => each.requestKey);
    const answer = await writer.run(createRow(key, entries), {
      giveUpAt: Infinity,
    });
    this.#writing--;
    if (answer.isLeft()) {
      this.#waiting.unshift(...batch);
      return;
    }
    for (const each of batch) each.confirm?.();
  }
}

function createRow(
  key: string,
  entries: readonly JsonValue[],
): RowOperation<void> {
  return {
    id: key,
    keys: [key],
    decide(rows) {
      if (rows.has(key)) return { writes: [], result: undefined };
      return { writes: [{ key, value: { entries } }], result: undefined };
    },
  };
}
