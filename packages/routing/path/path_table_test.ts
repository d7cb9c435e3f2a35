/** Tests of the choice of path to a target. */
import test from "ava";
import { PathTable, TargetPath } from "../mod.ts";

test("a peer is asked first where the own path is lost, and only there", (t) => {
  const table = new PathTable();
  t.is(table.plan("t1", 0).first, TargetPath.Direct);
  t.true(table.recordRelayed("t1", 300));
  t.false(table.recordRelayed("t1", 310));
  t.is(table.plan("t1", 400).first, TargetPath.Relayed);
  t.is(table.plan("t2", 400).first, TargetPath.Direct);
  t.is(table.recordDirect("t1", 2_300), 2_000);
  t.is(table.plan("t1", 2_400).first, TargetPath.Direct);
});

test("once several paths are lost and none works, peers are asked without delay", (t) => {
  const table = new PathTable();
  table.recordRelayed("t1", 100);
  t.true(table.plan("t3", 200).relayDelay! > 0);
  table.recordRelayed("t2", 200);
  t.true(table.isSuspect);
  t.is(table.plan("t3", 300).relayDelay, 0);
  table.recordDirect("t4", 400);
  t.false(table.isSuspect);
  t.true(table.plan("t3", 500).relayDelay! > 0);
});

test("for a target that nobody reaches peers are asked now and then only", (t) => {
  const table = new PathTable();
  table.recordUnreached("t1", 0);
  t.is(table.plan("t1", 100).relayDelay, undefined);
  t.true(table.plan("t1", 5_000).relayDelay! > 0);
  table.recordUnreached("t1", 5_000);
  table.recordDirect("t1", 5_100);
  t.true(table.plan("t1", 5_200).relayDelay! > 0);
});

test("lost paths are probed in turn", (t) => {
  const table = new PathTable();
  t.is(table.takeProbe(), undefined);
  for (const [index, target] of ["t1", "t2", "t3"].entries()) {
    table.recordRelayed(target, index);
  }
  t.deepEqual([1, 2, 3, 4].map(() => table.takeProbe()), [
    "t1",
    "t2",
    "t3",
    "t1",
  ]);
  table.remove("t2");
  t.is(table.takeProbe(), "t3");
});
