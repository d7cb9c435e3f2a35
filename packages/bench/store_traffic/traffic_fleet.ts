/** Some entry VMs in virtual time that share one table, and their traffic. */
import { computeHash, type Millis, rankMembers } from "../../core/mod.ts";
import { StoreWriter } from "../../platform/mod.ts";
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
  GateFace,
  RowPerClaimFace,
  type StoreFace,
} from "./store_layout.ts";
import { TrafficEscrow } from "./traffic_escrow.ts";

/** How bills and claims become rows. */
export enum StoreLayout {
  /** A row for each claim; bills of each VM in batches of its own. */
  RowPerClaim = "row per claim",
  /** Claims and bills of a region's VMs in rows of two gates. */
  Gates = "gates",
}

/** One fleet and its traffic. */
export interface TrafficFleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly layout: StoreLayout;
  readonly billInterval: Millis;
  readonly duration: Millis;
  /** Share of the requests that may not be repeated. */
  readonly onceShare: number;
  readonly outages?: readonly TimeWindow[];
  readonly requestsPerEntry: number;
}

/** Rates of the table service. */
export const TABLE_WRITES_PER_SECOND = 300;
export const TABLE_READS_PER_SECOND = 2_000;

/** Budgets for each entry VM: 80,000 over 380. */
const BUDGETS_PER_ENTRY = 210;

/** VMs in one region: 380 over 7 would be 54, but 8 are measured first. */
const ENTRIES_PER_REGION = 8;
const GATES_PER_REGION = 2;
const GATE_INTERVAL: Millis = 100;
const GATE_HOP: Millis = 0.5;
const TABLE_LATENCY: Millis = 6;
const GROUP_DELAY: Millis = 20;
const HEARTBEAT_INTERVAL: Millis = 10_000;
const POLL_INTERVAL: Millis = 5_000;
const CALL_TIME: Millis = 20;
const TOKEN_TIME: Millis = 20;
const BUDGET_TOKENS = 50_000_000;

interface TrafficVm {
  readonly name: string;
  readonly writer: StoreWriter;
  readonly escrow: TrafficEscrow;
  readonly face: StoreFace;
}

/** Runs traffic and keeps what it showed. */
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
      latency: TABLE_LATENCY,
      writesPerSecond: TABLE_WRITES_PER_SECOND,
      readsPerSecond: TABLE_READS_PER_SECOND,
      ...(options.outages === undefined ? {} : { outages: options.outages }),
    });
    this.meter = new RowMeter(table, this.clock);
    this.#vms = this.#createVms();
    this.#startArrivals();
  }

  /** Returns what became of the requests so far. */
  readCounts() {
    return { ...this.#counts };
  }

  /** Returns the operations that wait at all VMs together. */
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
    const logs = names.map((vm, index) =>
      new BatchWriter("log", {
        vm,
        clock: this.clock,
        writer: writers[index]!,
        interval: GATE_INTERVAL,
        mostOpen: 1,
      })
    );
    return names.map((name, index) => {
      const writer = writers[index]!;
      this.#startBackground(name, writer);
      const escrow = new TrafficEscrow({
        vm: name,
        clock: this.clock,
        writer,
        budgetTokens: BUDGET_TOKENS,
        recordWait: (wait) => this.grantWaits.record(wait),
      });
      const gate = logs[findGate(index)]!;
      return {
        name,
        writer,
        escrow,
        face: this.#createFace(name, { writer, gate }),
      };
    });
  }

  #createWriter(name: string): StoreWriter {
    return new StoreWriter({
      table: this.meter,
      clock: this.clock,
      random: this.#random.createBranch(name).uniform,
      sleep: (duration) => this.clock.wait(duration),
      groupDelay: GROUP_DELAY,
    });
  }

  #createFace(
    vm: string,
    input: { readonly writer: StoreWriter; readonly gate: BatchWriter },
  ): StoreFace {
    const { clock } = this;
    const { layout, billInterval } = this.#options;
    return layout === StoreLayout.Gates
      ? new GateFace({ clock, hop: GATE_HOP }, input.gate)
      : new RowPerClaimFace({ vm, clock, writer: input.writer, billInterval });
  }

  /** Heartbeat rows and polls of the document's head, spread over the VMs. */
  #startBackground(name: string, writer: StoreWriter): void {
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
      // The busiest hundredth is drawn on from every region.
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
      ? arrival.kind.flatTokens + 10
      : 4 * arrival.promptTokens + arrival.kind.maxOutputTokens;
    vm.escrow.reserve(input.event, bound, (reservation) => {
      if (reservation === undefined) {
        this.#counts.withoutTokens++;
        return;
      }
      const finish = (spent: number) => {
        vm.escrow.settle(reservation, Math.min(bound, spent));
        if (spent > 0) vm.face.addBill(arrival.requestKey);
      };
      if (input.once) this.#runOnce(vm, arrival.requestKey, finish);
      else {
        const spent = arrival.promptTokens + arrival.outputTokens;
        const time = arrival.outputTokens * TOKEN_TIME;
        this.clock.schedule(time, () => finish(spent));
      }
    });
  }

  #runOnce(
    vm: TrafficVm,
    requestKey: string,
    finish: (spent: number) => void,
  ): void {
    const since = this.clock.readMonotonic();
    vm.face.takeClaim(requestKey, (taken) => {
      this.claimWaits.record(this.clock.readMonotonic() - since);
      if (!taken) {
        this.#counts.withoutClaim++;
        return finish(0);
      }
      this.clock.schedule(CALL_TIME, () => {
        vm.face.finishClaim(requestKey);
        finish(10);
      });
    });
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

/** Returns the VM that writes for a VM: one of the first two of its region. */
function findGate(index: number): number {
  const first = index - index % ENTRIES_PER_REGION;
  return first + computeHash(`vm-${index}`) % GATES_PER_REGION;
}
