/** Tests of which targets one VM takes to be cold, and of what it logs. */
import test from "ava";
import { createRoutingState, createTargetState } from "../../routing/mod.ts";
import type { LogEvent, LogFields } from "../../runtime/mod.ts";
import type { ListedTarget } from "../dialect.ts";
import { createGatewayMetrics } from "../gateway_metrics.ts";
import { type ColdContext, ColdTargets } from "./cold_targets.ts";

const COLD_START = 20_000;

const ENTRY: ListedTarget = {
  id: "app-1",
  incarnation: "1",
  service: "app",
  release: "v1",
  host: "127.0.0.1",
  port: 1,
  dataCentre: "a",
  slots: 8,
  leaving: false,
  coldRemaining: 0,
};

/** One VM that has loaded one target at time 0. */
class Fixture {
  now = 0;
  readonly logged: string[] = [];
  readonly state = createRoutingState();
  readonly metrics = createGatewayMetrics();
  readonly settings: ColdContext["settings"] & { coldTargets?: unknown } = {
    coldTargets: { overage: 1.5, slack: 5 },
  };
  readonly cold: ColdTargets;

  constructor() {
    const record = (event: LogEvent, fields: LogFields = {}) => {
      const { reason = event.replace("target_", ""), for_ms = "" } = fields;
      this.logged.push(`${reason} ${for_ms}`.trim());
    };
    const log = { info: record, warn: record, error: record };
    this.cold = new ColdTargets({
      clock: { readMonotonic: () => this.now, readWall: () => 0 },
      log: { ...log, flush: () => Promise.resolve() },
      metrics: this.metrics,
      settings: this.settings,
    }, {
      state: this.state,
      findTurnGroup: () => ({ self: 1, others: [] }),
      readStoreAnswer: () => ({ time: this.now, receivedAt: this.now }),
    });
    this.state.targets.put(createTargetState(
      { ...ENTRY, url: "", region: "here", capacity: 8 },
      { now: 0, slowStart: false },
    ));
    this.list({});
    this.applyService(10);
  }

  applyService(coldPerSecond: number): void {
    const service = { id: "app", maxConnections: 8, coldStart: COLD_START };
    this.cold.applyServices(new Map([["app", { ...service, coldPerSecond }]]));
  }

  list(changed: Partial<ListedTarget>): void {
    this.cold.recordEntries([{ ...ENTRY, ...changed }]);
  }

  /** Lets time pass and returns whether the target is cold then. */
  async isColdAt(now: number): Promise<boolean> {
    this.now = now;
    this.cold.expire();
    const cold = this.state.targets.get("app-1")?.cold;
    const { values } = await this.metrics.coldTargets.get();
    return cold !== undefined && cold.until > now && values[0]?.value === 1;
  }
}

/** What happens at a time, whether the target is cold then, and what is logged. */
type Step = readonly [number, (vm: Fixture) => void, boolean, string?];

const pass = () => {};

const CASES: Readonly<Record<string, readonly Step[]>> = {
  // Guards against log lines for each entry, which targets rewrite often.
  "an entry's cold time counts down, ends and begins again": [
    [0, pass, false],
    [1, (vm) => vm.list({ coldRemaining: 5_000 }), true, "reported 5000"],
    [1_200, (vm) => vm.list({ coldRemaining: 3_900 }), true],
    [1_300, (vm) => vm.list({ coldRemaining: 8_000 }), true],
    [1_400, (vm) => vm.list({ coldRemaining: 3_700 }), true],
    [4_900, pass, true],
    [5_100, pass, false, "warm"],
    [5_200, (vm) => vm.list({ coldRemaining: 3_000 }), true, "reported 3000"],
    [5_300, (vm) => vm.list({}), false, "warm"],
  ],
  // Guards against all targets cold at once when a store comes back from a copy.
  "a known process is listed again, and a new one appears": [
    [10, (vm) => (vm.cold.remove("app-1"), vm.list({})), false],
    [20, (vm) => vm.list({ incarnation: "2" }), true, "started 20000"],
    [20_019, pass, true],
    [20_020, pass, false, "warm"],
  ],
  "a target is unreachable, answers again and is evacuated": [
    [0, (vm) => vm.cold.recordUnreached("app-1", true), true, "unreachable"],
    [90_000, pass, true],
    [90_001, (vm) => vm.cold.recordAnswered("app-1"), true, "returned 20000"],
    [110_000, pass, true],
    [110_001, pass, false, "warm"],
    [
      120_000,
      (vm) => vm.cold.recordEvacuated(["app-1"]),
      true,
      "evacuated 21000",
    ],
    [141_000, pass, false, "warm"],
  ],
  "the service or the settings allow any rate": [
    [1, (vm) => vm.list({ incarnation: "2" }), true, "started 20000"],
    [2, (vm) => vm.applyService(0), false, "warm"],
    [3, (vm) => vm.applyService(10), true, "started 19998"],
    [
      4,
      (vm) => {
        delete vm.settings.coldTargets;
        vm.cold.applySettings();
      },
      false,
      "warm",
    ],
    [5, (vm) => vm.list({ incarnation: "3" }), false],
  ],
};

for (const [name, steps] of Object.entries(CASES)) {
  test(`a target is cold and logged as such when due: ${name}`, async (t) => {
    const vm = new Fixture();
    for (const [now, act, isCold, logged] of steps) {
      vm.now = now;
      act(vm);
      t.is(await vm.isColdAt(now), isCold, String(now));
      t.deepEqual(vm.logged.splice(0), logged === undefined ? [] : [logged]);
    }
  });
}
