/** Tests of write-offs, also of holders that were only paused. */
import test from "ava";
import { MemoryRows } from "../../stand_ins/mod.ts";
import {
  computeBudgetLeft,
  createCloseGrant,
  createTakeGrant,
  createWriteOff,
  LossEvidenceKind,
  MAX_WRITE_OFFS,
  parseBudgetRow,
} from "../mod.ts";

function takeGrant(rows: MemoryRows, number: number, incarnation = "1") {
  return rows.apply(createTakeGrant({
    eventId: "e",
    grantId: `a/${incarnation}/${number}`,
    vm: "a",
    incarnation,
    wanted: 10,
    least: 1,
    initialLimit: 1_000,
    wallTime: 0,
  }));
}

function writeOff(rows: MemoryRows, incarnation: string, wallTime = 9) {
  const evidence = {
    kind: LossEvidenceKind.LaterIncarnation as const,
    vm: "a",
    incarnation,
  };
  const input = { eventId: "e", evidence, initialLimit: 1_000, wallTime };
  return rows.apply(createWriteOff(input).unsafeCoerce());
}

function closeGrant(rows: MemoryRows, number: number, spent: number) {
  return rows.apply(createCloseGrant({
    eventId: "e",
    grantId: `a/1/${number}`,
    spent,
    loans: [],
    initialLimit: 1_000,
  }));
}

function readRow(rows: MemoryRows) {
  return parseBudgetRow(rows.peek("budget/e") ?? null).unsafeCoerce();
}

test("only incarnations before the evidence are written off, and no tokens are released", (t) => {
  const rows = new MemoryRows();
  takeGrant(rows, 1, "1");
  takeGrant(rows, 1, "2");
  t.is(writeOff(rows, "2").tokens, 10);
  t.deepEqual(Object.keys(readRow(rows).grants), ["a/2/1"]);
  t.is(computeBudgetLeft(readRow(rows)), 980);
});

test("a paused holder that resumes returns its unspent tokens exactly once", (t) => {
  const rows = new MemoryRows();
  takeGrant(rows, 1);
  writeOff(rows, "2");
  t.true(closeGrant(rows, 1, 4).closedNow);
  t.false(closeGrant(rows, 1, 4).closedNow);
  t.is(computeBudgetLeft(readRow(rows)), 996);
  t.is(readRow(rows).writtenOff, 0);
  t.is(writeOff(rows, "2").tokens, 0);
});

test("a take that is decided again after its write-off creates no second grant", (t) => {
  const rows = new MemoryRows();
  takeGrant(rows, 1);
  writeOff(rows, "2");
  t.is(takeGrant(rows, 1).size, 10);
  t.is(computeBudgetLeft(readRow(rows)), 990);
});

test("the number of write-off entries is bounded and the total stays complete", (t) => {
  const rows = new MemoryRows();
  const grantCount = MAX_WRITE_OFFS + 3;
  for (let number = 0; number < grantCount; number++) {
    takeGrant(rows, number);
    writeOff(rows, "2", number);
  }
  t.is(Object.keys(readRow(rows).writeOffs ?? {}).length, MAX_WRITE_OFFS);
  t.is(readRow(rows).writtenOff, 10 * grantCount);
  t.false(closeGrant(rows, 0, 0).closedNow);
  t.true(closeGrant(rows, grantCount - 1, 0).closedNow);
});

test("a VM list without the VM is no evidence until the required time has passed", (t) => {
  const unlisted = (unlistedFor: number) =>
    createWriteOff({
      eventId: "e",
      evidence: {
        kind: LossEvidenceKind.Unlisted,
        vm: "a",
        incarnation: "1",
        unlistedFor,
        required: 60_000,
      },
      initialLimit: 1_000,
      wallTime: 0,
    });
  t.true(unlisted(60_000).isLeft());
  t.true(unlisted(60_001).isRight());
});
