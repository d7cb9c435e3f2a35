/** Tests of the quarantine of prompt parts that crash targets. */
import test from "ava";
import {
  CRASHES_TO_REFUSE_PART,
  type CrashReport,
  createRequestKey,
  type EvidenceReport,
  MAX_REPORTED_CRASHES,
  MAX_REPORTED_PARTS,
  MAX_REPORTED_PROOFS,
  PartQuarantine,
} from "../mod.ts";

const SECOND = 1_000;
const MINUTE = 60 * SECOND;

function createCrash(
  number: number,
  parts: readonly string[],
  at = number * SECOND,
): CrashReport {
  return { target: `t${number}`, incarnation: "1", at, parts };
}

function applyFrom(to: PartQuarantine, report: EvidenceReport, now: number) {
  to.applyReport(report, { isOwn: false, now });
}

/** A quarantine that has observed a crash with each list of parts. */
function createQuarantine(...crashes: string[][]): PartQuarantine {
  const quarantine = new PartQuarantine();
  crashes.forEach((parts, index) =>
    quarantine.recordCrash(createCrash(index, parts))
  );
  return quarantine;
}

test("a part is refused after crashes of three targets, not before", (t) => {
  const quarantine = createQuarantine(["d", "x1"], ["d", "x2"]);
  t.true(quarantine.hasSuspect(["d"], 2 * SECOND));
  t.is(quarantine.findQuarantined(["d", "x1"], 2 * SECOND), undefined);
  quarantine.recordCrash(createCrash(2, ["d", "x3"]));
  const found = quarantine.findQuarantined(["y", "d"], 2 * SECOND);
  t.deepEqual(found?.parts, ["d"]);
  t.deepEqual(found?.targets, ["t0", "t1", "t2"]);
  t.is(quarantine.findQuarantined(["x1", "x2", "x3"], 2 * SECOND), undefined);
});

test("parts that sound requests share with deadly ones are not refused", (t) => {
  const quarantine = new PartQuarantine();
  for (let number = 0; number < 6; number++) {
    quarantine.recordBegun(["common"], number * SECOND);
    const crash = createCrash(number, ["common", "d"]);
    quarantine.recordCrash(crash);
  }
  const now = 6 * SECOND;
  t.is(quarantine.findQuarantined(["common", "y"], now), undefined);
  t.deepEqual(quarantine.findQuarantined(["common", "d"], now)?.parts, ["d"]);
});

test("an answer that begins after the crashes lifts the quarantine of a part", (t) => {
  const quarantine = createQuarantine(["x"], ["x"], ["x"]);
  t.truthy(quarantine.findQuarantined(["x"], 3 * SECOND));
  t.true(quarantine.recordBegun(["x"], 3 * SECOND));
  t.is(quarantine.findQuarantined(["x"], 3 * SECOND), undefined);
});

test("parts that can't be told apart are refused only together, until one is proven", (t) => {
  const quarantine = createQuarantine(["x", "d"], ["x", "d"], ["x", "d"]);
  const now = 3 * SECOND;
  t.truthy(quarantine.findQuarantined(["x", "d", "y"], now));
  t.is(quarantine.findQuarantined(["x"], now), undefined);
  t.is(quarantine.findQuarantined(["d"], now), undefined);
  quarantine.recordBegun(["x"], now);
  t.truthy(quarantine.findQuarantined(["d"], now));
});

test("a part with more crashes explains those of another part", (t) => {
  const quarantine = createQuarantine(["x", "d"], ["x", "d"], ["x", "d"]);
  quarantine.recordCrash(createCrash(3, ["d", "z"]));
  t.truthy(quarantine.findQuarantined(["d"], 3 * SECOND));
  t.is(quarantine.findQuarantined(["x"], 3 * SECOND), undefined);
});

test("targets that die for another reason quarantine no part that answers begin with", (t) => {
  const [v1, v2] = [new PartQuarantine(), new PartQuarantine()];
  for (let number = 0; number < CRASHES_TO_REFUSE_PART; number++) {
    v1.recordCrash(createCrash(number, ["rare"], 0));
  }
  v2.recordBegun(["rare"], -SECOND);
  applyFrom(v2, v1.createReport(0), 100);
  t.is(v2.findQuarantined(["rare"], 100), undefined);
  t.true(v2.hasUnreportedProof(100));
  applyFrom(v1, v2.createReport(100), 200);
  t.is(v1.findQuarantined(["rare"], 200), undefined);
  t.false(v2.hasUnreportedProof(200));
});

test("a crash that several VMs see counts once", (t) => {
  const [v1, v2] = [new PartQuarantine(), new PartQuarantine()];
  for (const quarantine of [v1, v2]) {
    quarantine.recordCrash(createCrash(0, ["d"], 0));
    quarantine.recordCrash(createCrash(1, ["d"], SECOND));
  }
  applyFrom(v1, v2.createReport(SECOND), SECOND);
  applyFrom(v1, v2.createReport(SECOND), SECOND);
  t.is(v1.findQuarantined(["d"], SECOND), undefined);
});

test("crashes under one id count once for each incarnation", (t) => {
  const quarantine = new PartQuarantine();
  for (const incarnation of ["1", "2", "3"]) {
    const crash = { ...createCrash(0, ["d"], 0), incarnation };
    quarantine.recordCrash(crash);
  }
  t.truthy(quarantine.findQuarantined(["d"], 0));
});

test("a VM that was disconnected during all crashes refuses the part once it reads the reports", (t) => {
  const reports = [0, 1, 2].map((number) => {
    const seer = new PartQuarantine();
    seer.recordCrash(createCrash(number, ["common", "d"]));
    return seer.createReport(number * SECOND);
  });
  const late = new PartQuarantine();
  late.recordBegun(["common"], 0);
  t.is(late.findQuarantined(["d"], 8 * SECOND), undefined);
  for (const report of reports.reverse()) applyFrom(late, report, 9 * SECOND);
  t.truthy(late.findQuarantined(["d"], 9 * SECOND));
  t.is(late.findQuarantined(["common"], 9 * SECOND), undefined);
});

test("a VM that restarts reports the crashes of its earlier incarnation again", (t) => {
  const before = createQuarantine(["d"], ["d"]);
  const after = new PartQuarantine();
  after.applyReport(before.createReport(SECOND), {
    isOwn: true,
    now: 2 * SECOND,
  });
  after.recordCrash(createCrash(2, ["d"]));
  t.is(after.createReport(2 * SECOND).crashes.length, 3);
  t.truthy(after.findQuarantined(["d"], 2 * SECOND));
});

test("a quarantine expires, and one more crash restores it while two remain", (t) => {
  const quarantine = createQuarantine(["d"], ["d"], ["d"]);
  const found = quarantine.findQuarantined(["d"], 3 * SECOND);
  const until = found!.until;
  t.true(until > 2 * MINUTE && until < 10 * MINUTE);
  t.truthy(quarantine.findQuarantined(["d"], until - 1));
  t.is(quarantine.findQuarantined(["d"], until), undefined);
  quarantine.recordCrash(createCrash(3, ["d"], until));
  t.truthy(quarantine.findQuarantined(["d"], until));
  t.is(quarantine.findQuarantined(["d"], until + 5 * MINUTE), undefined);
  t.deepEqual(quarantine.createReport(until + 10 * MINUTE).crashes, []);
});

test("a part that was sound long ago can be quarantined", (t) => {
  const quarantine = new PartQuarantine();
  quarantine.recordBegun(["d"], 0);
  for (const number of [0, 1, 2]) {
    const crash = createCrash(number, ["d"], 2 * MINUTE);
    quarantine.recordCrash(crash);
  }
  t.truthy(quarantine.findQuarantined(["d"], 2 * MINUTE));
});

test("a request that was answered just before its first crash is refused after three crashes", (t) => {
  const key = createRequestKey("digest");
  const quarantine = new PartQuarantine();
  quarantine.recordBegun([key, "common"], 0);
  for (const number of [10, 11, 12]) {
    quarantine.recordCrash(createCrash(number, [key, "common"]));
  }
  const now = 15 * SECOND;
  t.deepEqual(quarantine.findQuarantined([key], now)?.parts, [key]);
  t.is(quarantine.findQuarantined(["common"], now), undefined);
});

test("an answer to the same request after its crashes proves it sound", (t) => {
  const key = createRequestKey("digest");
  const [v1, v2] = [new PartQuarantine(), new PartQuarantine()];
  for (const number of [0, 1, 2]) v1.recordCrash(createCrash(number, [key]));
  v2.recordBegun([key], 2 * SECOND + 1);
  applyFrom(v2, v1.createReport(3 * SECOND), 3 * SECOND);
  t.true(v2.hasUnreportedProof(3 * SECOND));
  applyFrom(v1, v2.createReport(3 * SECOND), 3 * SECOND);
  t.is(v1.findQuarantined([key], 3 * SECOND), undefined);
});

test("a report stays bounded and keeps the newest crashes", (t) => {
  const quarantine = new PartQuarantine();
  const many = Array.from({ length: 400 }, (_, index) => `p${index}`);
  for (let number = 0; number < 600; number++) {
    quarantine.recordCrash(createCrash(number, many, number));
  }
  quarantine.recordBegun(many, 600);
  const { crashes, proofs } = quarantine.createReport(600);
  t.is(crashes.length, MAX_REPORTED_CRASHES);
  t.is(crashes.at(-1)?.target, "t599");
  t.true(crashes.every((crash) => crash.parts.length <= MAX_REPORTED_PARTS));
  t.true(proofs.length <= MAX_REPORTED_PROOFS);
});

test("proofs that don't fit into one report follow in the next", (t) => {
  const parts = Array.from(
    { length: MAX_REPORTED_PROOFS + 10 },
    (_, index) => `p${index}`,
  );
  const prover = new PartQuarantine();
  prover.recordBegun(parts, 0);
  for (let start = 0; start < parts.length; start += MAX_REPORTED_PARTS) {
    const reported = parts.slice(start, start + MAX_REPORTED_PARTS);
    applyFrom(prover, {
      crashes: [createCrash(start, reported, SECOND)],
      proofs: [],
    }, SECOND);
  }
  const written = new Set<string>();
  while (prover.hasUnreportedProof(SECOND)) {
    const { proofs } = prover.createReport(SECOND);
    for (const { part } of proofs) written.add(part);
  }
  t.is(written.size, parts.length);
});
