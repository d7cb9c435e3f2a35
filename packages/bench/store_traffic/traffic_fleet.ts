/**
 * Simulates entry VMs that share one store, and their traffic, in virtual time.
 */
import { computeHash, type Millis, rankMembers } from "../../core/mod.ts";
import { HEARTBEAT_INTERVAL } from "../../membership/mod.ts";
import { StoreWriter } from "../../ports/mod.ts";
import { Histogram } from "../harness/histogram.ts";
import { createZipfChoice, SeededRandom } from "../harness/random.ts";
import { TimedTable, type TimeWindow } from "../harness/timed_table.ts";
import { VirtualClock } from "../harness/virtual_clock.ts";
import {
  type Arrival,
  createArrivals,
  SELAM_MIX,
} from "../harness/workload.ts";
import { RowMeter } from "./row_meter.ts";
import {
  BatchWriter,
  LogOwner,
  LogStoreClient,
  RowStoreClient,
  type StoreClient,
} from "./store_client.ts";
import { TrafficClaims } from "./traffic_claims.ts";
import { TrafficEscrow } from "./traffic_escrow.ts";

/** How operations and bills are laid out as rows in the store. */
export enum StoreLayout {
  /** Operations write their own rows, and each VM writes batches of bills. */
  Rows = "rows",
  /** Log owners, two in each region, write for all VMs. */
  Logs = "logs",
}

/** Size, layout, traffic and faults of a fleet. */
export interface TrafficFleetOptions {
  readonly seed: number;
  /** Number of entry VMs. */
  readonly entries: number;
  readonly layout: StoreLayout;
  /** Time between two batches of bills of a VM. */
  readonly billInterval: Millis;
  /** Maximum number of batches of bills that a VM writes at once. */
  readonly maxBillRowsInFlight: number;
  readonly duration: Millis;
  /** Share of the requests that must not be repeated. */
  readonly onceShare: number;
  /** Time windows in which the store is down. */
  readonly outages?: readonly TimeWindow[];
  /** Requests per second for each entry VM. */
  readonly requestsPerEntry: number;
}

/** Rows that the store writes per second; it throttles further calls. */
export const STORE_WRITES_PER_SECOND = 300;
/** Rows that the store reads per second; it throttles further calls. */
export const STORE_READS_PER_SECOND = 2_000;

/** Budgets for each entry VM: 80,000 over 380 entry VMs. */
const BUDGETS_PER_ENTRY = 210;

/**
 * Entry VMs in one region. The planned fleet has 54, but the smallest fleet
 * measured has 8.
 */
export const ENTRIES_PER_REGION = 8;
const LOGS_PER_REGION = 2;
/** One-way network delay within a region. */
const NEAR_DELAY: Millis = 0.5;
/** One-way network delay between regions. */
const FAR_DELAY: Millis = 30;

/** Time between two rows of a log. */
export const LOG_INTERVAL: Millis = 100;
const STORE_LATENCY: Millis = 6;
/** Time for which a writer collects operations into one transaction. */
const GROUP_COMMIT_DELAY: Millis = 20;
/** Interval at which each VM polls the head of the document. */
const POLL_INTERVAL: Millis = 5_000;
const CALL_TIME: Millis = 20;
const TOKEN_TIME: Millis = 20;
const CALL_TOKENS = 10;
const BUDGET_TOKENS = 50_000_000;

/** One entry VM. */
interface TrafficVm {
  readonly name: string;
  readonly writer: StoreWriter;
  readonly escrow: TrafficEscrow;
  readonly storeClient: StoreClient;
  readonly claims: TrafficClaims;
}

/** Runs the traffic of a fleet and records counts and wait times. */
export class TrafficFleet {
  readonly clock = new VirtualClock();
  readonly meter: RowMeter;
  readonly claimWaits = new Histogram();
  readonly grantWaits = new Histogram();
  readonly #options: TrafficFleetOptions;
  readonly #random: SeededRandom;
  readonly #vms: TrafficVm[];
  readonly #homes = new Map<string, TrafficVm>();
  #counts = { requests: 0, withoutTokens: 0, withoutClaim: 0 };

  constructor(options: TrafficFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const table = new TimedTable({
      clock: this.clock,
      random: this.#random.createBranch("table"),
      latency: STORE_LATENCY,
      writesPerSecond: STORE_WRITES_PER_SECOND,
      readsPerSecond: STORE_READS_PER_SECOND,
      ...(options.outages === undefined ? {} : { outages: options.outages }),
    });
    this.meter = new RowMeter(table, this.clock);
    this.#vms = this.#createVms();
    this.#startArrivals();
  }

  /**
   * Returns the number of requests so far, and of those that got no tokens or
   * no claim.
   */
  readCounts() {
    return { ...this.#counts };
  }

  /** Returns the number of store operations that wait, summed over all VMs. */
  countWaiting(): number {
    return this.#vms.reduce(
      (sum, vm) => sum + vm.writer.readCounts().waiting,
      0,
    );
  }

  #createVms(): TrafficVm[] {
    const { entries } = this.#options;
    const names = Array.from({ length: entries }, (_, index) => `vm-${index}`);
    const writers = names.map((name) => this.#createWriter(name));
    const owners = this.#createOwners(names, writers);
    return names.map((name, index) => {
      const writer = writers[index]!;
      this.#startBackgroundTraffic(name, writer);
      const storeClient = this.#createStoreClient({
        vm: name,
        index,
        writer,
        owners,
      });
      return {
        name,
        writer,
        storeClient,
        ...this.#createParts(name, storeClient),
      };
    });
  }

  #createParts(vm: string, storeClient: StoreClient) {
    const { clock } = this;
    const escrow = new TrafficEscrow({
      vm,
      clock,
      storeClient,
      budgetTokens: BUDGET_TOKENS,
      recordWait: (wait) => this.grantWaits.record(wait),
    });
    return { escrow, claims: new TrafficClaims(vm, { clock, storeClient }) };
  }

  /** The first VMs of each region own the logs. */
  #createOwners(
    names: readonly string[],
    writers: readonly StoreWriter[],
  ): readonly RegionalLogOwner[] {
    return names.flatMap((vm, index) => {
      if (index % ENTRIES_PER_REGION >= LOGS_PER_REGION) return [];
      const log = new BatchWriter("log", {
        vm,
        clock: this.clock,
        writer: writers[index]!,
        interval: LOG_INTERVAL,
        maxInFlight: 1,
      });
      return [{ region: findRegion(index), owner: new LogOwner(log) }];
    });
  }

  #createWriter(name: string): StoreWriter {
    return new StoreWriter({
      table: this.meter,
      clock: this.clock,
      random: this.#random.createBranch(name).uniform,
      sleep: (duration) => this.clock.wait(duration),
      groupDelay: GROUP_COMMIT_DELAY,
    });
  }

  #createStoreClient(input: {
    readonly vm: string;
    readonly index: number;
    readonly writer: StoreWriter;
    readonly owners: readonly RegionalLogOwner[];
  }): StoreClient {
    const { clock } = this;
    const { vm, index, writer, owners } = input;
    const { layout, billInterval, maxBillRowsInFlight } = this.#options;
    if (layout === StoreLayout.Rows) {
      const bills = new BatchWriter("bills", {
        vm,
        clock,
        writer,
        interval: billInterval,
        maxInFlight: maxBillRowsInFlight,
      });
      return new RowStoreClient(writer, bills);
    }
    return new LogStoreClient(clock, (key) => {
      const { owner, region } = owners[computeHash(key) % owners.length]!;
      const delay = region === findRegion(index) ? NEAR_DELAY : FAR_DELAY;
      return { owner, delay };
    });
  }

  /**
   * Starts the periodic heartbeat rows and polls of the document's head. Each
   * VM starts at a random phase, so that the calls are spread over time.
   */
  #startBackgroundTraffic(name: string, writer: StoreWriter): void {
    const { clock, meter } = this;
    const key = `vm/${name}`;
    clock.schedule(
      this.#random.uniform() * HEARTBEAT_INTERVAL,
      () =>
        clock.scheduleEvery(HEARTBEAT_INTERVAL, () => {
          const giveUpAt = clock.readMonotonic() + HEARTBEAT_INTERVAL;
          const value = { at: clock.readWall() };
          void writer.run({
            id: key,
            keys: [key],
            decide: () => ({ writes: [{ key, value }], result: undefined }),
          }, { giveUpAt });
        }),
    );
    clock.schedule(
      this.#random.uniform() * POLL_INTERVAL,
      () =>
        clock.scheduleEvery(
          POLL_INTERVAL,
          () => void meter.read(["document/head"]),
        ),
    );
  }

  #startArrivals(): void {
    const { entries, duration, requestsPerEntry } = this.#options;
    const random = this.#random.createBranch("arrivals");
    const events = entries * BUDGETS_PER_ENTRY;
    const chooseEvent = createZipfChoice(events, 1);
    const regions = Math.ceil(entries / ENTRIES_PER_REGION);
    const arrivals = createArrivals({
      mix: SELAM_MIX,
      random,
      requestsPerSecond: entries * requestsPerEntry,
      duration,
    });
    for (const arrival of arrivals) {
      const event = chooseEvent(random);
      // The busiest hundredth of the events is used from every region, and each
      // other event from one region.
      const region = event < events / 100
        ? random.drawInteger(0, regions - 1)
        : event % regions;
      const once = random.drawChance(this.#options.onceShare);
      this.clock.schedule(
        arrival.at,
        () => this.#handle(arrival, { event: `event-${event}`, region, once }),
      );
    }
  }

  #handle(
    arrival: Arrival,
    input: {
      readonly event: string;
      readonly region: number;
      readonly once: boolean;
    },
  ): void {
    const vm = this.#findHome(input.event, input.region);
    this.#counts.requests++;
    const bound = input.once
      ? CALL_TOKENS
      : 4 * arrival.promptTokens + arrival.kind.maxOutputTokens;
    vm.escrow.reserve(input.event, bound, (reservation) => {
      if (reservation === undefined) {
        this.#counts.withoutTokens++;
        return;
      }
      const finish = (spent: number) => {
        vm.escrow.settle(reservation, Math.min(bound, spent));
        if (spent > 0) vm.storeClient.addBill(arrival.requestKey);
      };
      if (input.once) void this.#runOnce(vm, arrival.requestKey, finish);
      else {
        const spent = arrival.promptTokens + arrival.outputTokens;
        const time = arrival.outputTokens * TOKEN_TIME;
        this.clock.schedule(time, () => finish(spent));
      }
    });
  }

  async #runOnce(
    vm: TrafficVm,
    requestKey: string,
    finish: (spent: number) => void,
  ): Promise<void> {
    const since = this.clock.readMonotonic();
    const taken = await vm.claims.take(requestKey);
    this.claimWaits.record(this.clock.readMonotonic() - since);
    if (!taken) {
      this.#counts.withoutClaim++;
      return finish(0);
    }
    await this.clock.wait(CALL_TIME);
    finish(CALL_TOKENS);
    await vm.claims.finish(requestKey);
  }

  #findHome(event: string, region: number): TrafficVm {
    const key = `${event}/${region}`;
    const known = this.#homes.get(key);
    if (known !== undefined) return known;
    const first = region * ENTRIES_PER_REGION;
    const members = this.#vms.slice(first, first + ENTRIES_PER_REGION);
    const [best] = rankMembers(event, members.map((each) => each.name));
    const home = members.find((each) => each.name === best)!;
    this.#homes.set(key, home);
    return home;
  }
}

interface RegionalLogOwner {
  readonly region: number;
  readonly owner: LogOwner;
}

function findRegion(index: number): number {
  return Math.floor(index / ENTRIES_PER_REGION);
}
