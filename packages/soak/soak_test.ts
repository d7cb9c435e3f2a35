/** Tests of the fault plan and the guarantee checks, and one short soak run. */
import test from "ava";
import { DisruptionEffect } from "./configuration_effects.ts";
import { FaultKind, planFaults } from "./fault_plan.ts";
import { formatSoakReport, runSoak } from "./mod.ts";
import {
  type CallRecord,
  checkGuarantees,
  type LimitedPeriod,
  SoakGuarantee,
  type SoakRecords,
} from "./guarantees.ts";

const PLAN = { vms: 3, duration: 20_000 };

test("a fault plan is repeatable, and plans cover every kind of fault", (t) => {
  t.deepEqual(
    planFaults({ ...PLAN, seed: 4 }),
    planFaults({ ...PLAN, seed: 4 }),
  );
  t.notDeepEqual(
    planFaults({ ...PLAN, seed: 4 }),
    planFaults({ ...PLAN, seed: 5 }),
  );
  const all = Array.from(
    { length: 30 },
    (_, seed) => planFaults({ ...PLAN, seed }),
  );
  const kinds = new Set(all.flat().map((fault) => fault.kind));
  t.deepEqual([...kinds].toSorted(), Object.values(FaultKind).toSorted());
  const overlaps = all.flatMap((faults) =>
    faults.filter((fault, index) =>
      faults.slice(index + 1).some((later) =>
        later.at < fault.at + fault.duration
      )
    )
  );
  t.true(overlaps.length > 0);
});

const CALL: CallRecord = {
  id: "c1",
  vm: "v1",
  incarnation: 1,
  route: "chat",
  customer: "scarce",
  keyVersion: 1,
  newestVersion: 1,
  isSent: true,
  sentAt: 0,
  endedAt: 100,
  status: 200,
  isSealed: true,
  isComplete: true,
  isExpectedBody: true,
  hasRetryAfter: false,
  promptTokens: 60,
  outputTokens: 40,
  runs: 1,
  services: ["llm"],
  isTakenUp: false,
  releases: ["v1"],
};

const RECORDS: SoakRecords = {
  calls: [CALL],
  prepaid: new Map([["scarce", 100]]),
  undisturbedStops: [{ vm: "v1", from: 50, to: 5_000 }],
  limitedPeriods: [],
  acknowledged: [{ version: 1, at: -10_000 }],
  disruptions: [],
  faultsEndedAt: -10_000,
};

function listViolated(change: Partial<SoakRecords>): SoakGuarantee[] {
  return checkGuarantees({ ...RECORDS, ...change })
    .filter((each) => each.failures.length > 0)
    .map((each) => each.guarantee);
}

function listViolatedByCall(change: Partial<CallRecord>): SoakGuarantee[] {
  return listViolated({ calls: [{ ...CALL, ...change }] });
}

test("records that satisfy every guarantee violate none", (t) => {
  t.deepEqual(listViolated({}), []);
});

test("more requests than a limit allows are reported, but not of VMs that were not told", (t) => {
  const arrivals = Array.from({ length: 13 }, (_, index) => ({
    vm: "v1",
    at: index * 300,
    ...(index === 0 ? { toldAt: 10 } : {}),
  }));
  const period: LimitedPeriod = {
    target: "llm-1",
    perSecond: 1,
    arrivals,
    interruptions: [],
  };
  const { TargetLimit } = SoakGuarantee;
  const listFor = (change: Partial<LimitedPeriod>) =>
    listViolated({ limitedPeriods: [{ ...period, ...change }] });
  t.deepEqual(listFor({}), []);
  const one = { vm: "v1", at: 3_700 };
  t.deepEqual(listFor({ arrivals: [...arrivals, one] }), [TargetLimit]);
  const other = { vm: "v2", at: 3_700 };
  t.deepEqual(listFor({ arrivals: [...arrivals, other] }), []);
  const interruptions = [{ vm: "v1", from: 600, to: 700 }];
  t.deepEqual(listFor({ arrivals: [...arrivals, one], interruptions }), []);
});

test("records that violate a guarantee are reported for it", (t) => {
  const {
    Budget,
    AtMostOnce,
    RefusedNotRun,
    CompleteAnswer,
  } = SoakGuarantee;
  t.deepEqual(listViolatedByCall({ outputTokens: 41 }), [Budget]);
  t.deepEqual(listViolatedByCall({ route: "book", runs: 2 }), [AtMostOnce]);
  const refusal = { status: 503, isSealed: false, promptTokens: 0 };
  t.deepEqual(
    listViolatedByCall({ ...refusal, hasRetryAfter: true }),
    [RefusedNotRun, SoakGuarantee.Recovery],
  );
  t.deepEqual(
    listViolatedByCall({ ...refusal, runs: 0 }),
    [SoakGuarantee.RetryAfter, SoakGuarantee.Recovery],
  );
  t.deepEqual(listViolatedByCall({ isExpectedBody: false }), [CompleteAnswer]);
  t.deepEqual(listViolatedByCall({ runs: 0, promptTokens: 0 }), [
    CompleteAnswer,
  ]);
  t.deepEqual(
    listViolatedByCall({ releases: ["v1", "v2"] }),
    [SoakGuarantee.OneRelease],
  );
  t.deepEqual(
    listViolatedByCall({ isComplete: false }),
    [SoakGuarantee.PlannedStop],
  );
});

test("a process that rejects a valid key after accepting it is reported", (t) => {
  const later = { ...CALL, id: "c2", sentAt: 200, endedAt: 210, status: 401 };
  const calls = [{ ...CALL, outputTokens: 0 }, { ...later, runs: 0 }];
  t.deepEqual(listViolated({ calls }), [
    SoakGuarantee.NoConfigurationRollback,
    SoakGuarantee.ConfigurationInForce,
    SoakGuarantee.NotDenied,
  ]);
  const expiredKey = calls.map((call) => ({ ...call, newestVersion: 3 }));
  t.deepEqual(listViolated({ calls: expiredKey }), []);
  const otherIncarnation = calls.map((call, index) => ({
    ...call,
    incarnation: index,
  }));
  t.deepEqual(listViolated({ calls: otherIncarnation }), [
    SoakGuarantee.ConfigurationInForce,
    SoakGuarantee.NotDenied,
  ]);
});

test("calls that are handled as only replaced configurations allow are reported, from VMs in touch", (t) => {
  const { ConfigurationInForce, NotDenied } = SoakGuarantee;
  const acknowledged = [-10_000, 0, 1_000].map((at, index) => ({
    version: index + 1,
    at,
  }));
  const { OutOfTouch, Unstable } = DisruptionEffect;
  const disrupt = (effect: DisruptionEffect, vm = "v1") => [
    { effect, vms: [vm], from: 0, to: 6_000 },
  ];
  const listFor = (
    call: Partial<CallRecord>,
    sentAt: number,
    disruptions: SoakRecords["disruptions"] = [],
  ) => {
    const plain = { ...CALL, newestVersion: 3, promptTokens: 0 };
    const { runs = 1, services = ["app"] } = call;
    const changed = { ...plain, outputTokens: 0, ...call, runs, services };
    return listViolated({
      calls: [{ ...changed, sentAt, endedAt: sentAt + 10 }],
      acknowledged,
      disruptions,
      faultsEndedAt: Infinity,
    });
  };
  const refusal = { runs: 0, services: [] };
  const cases: readonly (readonly [Partial<CallRecord>, SoakGuarantee[]])[] = [
    [{ keyVersion: 1 }, [ConfigurationInForce]],
    [{ keyVersion: 2, routeVersion: 2 }, [ConfigurationInForce]],
    [{ ...refusal, keyVersion: 3, status: 401 }, [
      ConfigurationInForce,
      NotDenied,
    ]],
    [{ ...refusal, keyVersion: 3, routeVersion: 3, status: 404 }, [
      ConfigurationInForce,
      NotDenied,
    ]],
  ];
  for (const [call, violated] of cases) {
    const withDisruption = (...input: Parameters<typeof disrupt>) =>
      listFor(call, 9_000, disrupt(...input));
    t.deepEqual(listFor(call, 4_001), violated);
    t.deepEqual(withDisruption(OutOfTouch, "v2"), violated);
    t.deepEqual(withDisruption(OutOfTouch), []);
    t.deepEqual(withDisruption(Unstable), []);
    t.deepEqual(listFor(call, 10_001, disrupt(Unstable)), violated);
    t.deepEqual(listFor(call, 10_001, disrupt(OutOfTouch)), violated);
  }
  t.deepEqual(listFor({ keyVersion: 1 }, 3_999), []);
  const spent = { ...refusal, status: 402 };
  t.deepEqual(listFor({ ...spent, promptTokens: 60 }, 0), []);
  for (const denied of [{ ...spent, promptTokens: 50 }, spent]) {
    t.deepEqual(listFor(denied, 0, disrupt(OutOfTouch)), [NotDenied]);
  }
});

test("added routes that are hardly served are reported", (t) => {
  const createCalls = (change: Partial<CallRecord>, count: number) =>
    Array.from({ length: count }, (): CallRecord => ({
      ...CALL,
      ...change,
      promptTokens: 0,
      outputTokens: 0,
      newestVersion: 2,
      sentAt: 4_000,
      endedAt: 4_010,
    }));
  const listFor = (served: number, refused: number, isSent = true) =>
    listViolated({
      calls: [
        ...createCalls({ keyVersion: 2 }, 20),
        ...createCalls(
          { routeVersion: 2, keyVersion: 2, services: ["app"] },
          served,
        ),
        ...createCalls({
          ...{ routeVersion: 2, keyVersion: 2, services: [], runs: 0 },
          ...{ status: 503, isSealed: false, hasRetryAfter: true, isSent },
        }, refused),
      ],
      acknowledged: [1, 2].map((version) => ({ version, at: 0 })),
    });
  t.deepEqual(listFor(4, 16), [SoakGuarantee.AddedRoutes]);
  t.deepEqual(listFor(4, 15), []);
  t.deepEqual(listFor(4, 16, false), []);
  t.deepEqual(listFor(5, 15), []);
});

test("gateway processes satisfy the guarantees under the faults of a seed", async (t) => {
  const report = await runSoak({ seed: 3, vms: 2, duration: 4_000 });
  const violated = report.guarantees.filter((each) => each.failures.length > 0);
  t.deepEqual(violated, [], formatSoakReport(report));
  const count = (guarantee: SoakGuarantee) =>
    report.guarantees.find((each) => each.guarantee === guarantee)!.checked;
  t.true(count(SoakGuarantee.CompleteAnswer) > 0);
  t.true(count(SoakGuarantee.AtMostOnce) > 0);
  t.true(count(SoakGuarantee.Recovery) > 0);
  t.true(count(SoakGuarantee.ConfigurationInForce) > 0);
  t.true(count(SoakGuarantee.AddedRoutes) > 0);
});
