/** Tests of the exchange of load reports between VMs. */
import test from "ava";
import { AttemptEnd } from "../../ports/mod.ts";
import {
  applyReport,
  applyReports,
  applyTargets,
  computeHealth,
  createRoutingState,
  listReports,
  recordAttemptEnd,
  recordProbe,
  type RoutingState,
  TargetHealth,
} from "../mod.ts";
import { createFleet, createTarget } from "../test_fleet.ts";

const MANY = Array.from(
  { length: 40 },
  (_, index) => createTarget(`t${index}`),
);
const IDS = MANY.map((target) => target.id);

function createState(): RoutingState {
  const configuration = createFleet(MANY);
  return applyTargets(createRoutingState(), { configuration, now: 0 });
}

function createReport(running: number, leaving = false) {
  return { running, queued: 0, leaving, models: [] };
}

test("a relayed report keeps its age and does not replace a newer one", (t) => {
  const prober = createState();
  const other = createState();
  applyReport(prober, "t0", { report: createReport(9), now: 1_000 });
  const reports = listReports(prober, { ids: ["t0"], round: 0, now: 1_400 });
  applyReport(other, "t0", { report: createReport(2), now: 50_700 });
  applyReports(other, { reports, now: 51_000 });
  t.is(other.targets.get("t0")?.report?.running, 2);
  applyReports(other, { reports, now: 51_200 });
  t.is(other.targets.get("t0")?.report?.running, 9);
  t.is(other.targets.get("t0")?.report?.measuredAt, 50_800);
});

test("a message is bounded, rounds cover every target, and old reports are not sent", (t) => {
  const prober = createState();
  for (const id of IDS) {
    applyReport(prober, id, { report: createReport(1), now: 0 });
  }
  const seen = new Set<string>();
  for (let round = 0; round < 5; round++) {
    const reports = listReports(prober, { ids: IDS, round, now: 100 });
    t.true(reports.length <= 16);
    for (const report of reports) seen.add(report.target);
  }
  t.is(seen.size, IDS.length);
  t.deepEqual(listReports(prober, { ids: IDS, round: 0, now: 20_000 }), []);
});

test("a relayed report that a target is no longer leaving makes it healthy again", (t) => {
  const prober = createState();
  const other = createState();
  const relay = (now: number) =>
    applyReports(other, {
      reports: listReports(prober, { ids: ["t0"], round: 0, now }),
      now,
    });
  applyReport(prober, "t0", { report: createReport(1, true), now: 0 });
  relay(10);
  t.is(computeHealth(other.targets.get("t0")!, 10), TargetHealth.Leaving);
  applyReport(prober, "t0", { report: createReport(1), now: 5_000 });
  relay(5_010);
  t.is(computeHealth(other.targets.get("t0")!, 5_010), TargetHealth.Healthy);
});

test("a peer's failed probe makes a target unreachable only on a VM whose own attempt failed", (t) => {
  const prober = createState();
  const reaching = createState();
  const failing = createState();
  recordProbe(prober, "t0", { answered: false, now: 0 });
  recordAttemptEnd(failing, "t0", { now: 50, end: AttemptEnd.NotSent });
  const reports = listReports(prober, { ids: ["t0"], round: 0, now: 100 });
  for (const state of [reaching, failing]) {
    applyReports(state, { reports, now: 100 });
  }
  t.is(computeHealth(reaching.targets.get("t0")!, 100), TargetHealth.Healthy);
  const health = computeHealth(failing.targets.get("t0")!, 100);
  t.is(health, TargetHealth.Unreachable);
});

test("a relayed report from before a target stopped answering does not make it usable again", (t) => {
  const prober = createState();
  const other = createState();
  const relay = (times: { sentAt: number; receivedAt: number }) => {
    const { sentAt, receivedAt } = times;
    const reports = listReports(prober, { ids: ["t0"], round: 0, now: sentAt });
    applyReports(other, { reports, now: receivedAt });
    return computeHealth(other.targets.get("t0")!, receivedAt);
  };
  applyReport(prober, "t0", { report: createReport(1), now: 1_000 });
  recordProbe(other, "t0", { answered: false, now: 1_050 });
  const { Unreachable, Healthy } = TargetHealth;
  t.is(relay({ sentAt: 1_100, receivedAt: 1_110 }), Unreachable);
  t.is(relay({ sentAt: 1_010, receivedAt: 1_310 }), Unreachable);
  applyReport(prober, "t0", { report: createReport(1), now: 2_100 });
  t.is(relay({ sentAt: 2_110, receivedAt: 2_120 }), Healthy);
});
