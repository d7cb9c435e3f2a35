/** Tests of joining requests in progress and of kept outcomes. */
import test from "ava";
import { AdmitState, RequestTable } from "./mod.ts";

const REQUEST = { customer: "c", requestKey: "k", digest: "d" };

test("duplicates join the run in progress, and later ones get its outcome", (t) => {
  const table = new RequestTable<string>();
  const first = table.admit(REQUEST, 0);
  t.deepEqual(first, { state: AdmitState.Started, run: 1 });
  t.deepEqual(table.admit(REQUEST, 1), { state: AdmitState.Joined, run: 1 });
  const other = { ...REQUEST, digest: "x" };
  t.is(table.admit(other, 1).state, AdmitState.OtherBody);
  table.finish(1, { now: 2, keep: { outcome: "answer", bytes: 6 } });
  const kept = { state: AdmitState.Kept, outcome: "answer" };
  t.deepEqual(table.admit(REQUEST, 3), kept);
  t.is(table.admit(other, 3).state, AdmitState.OtherBody);
  t.is(table.admit({ ...REQUEST, customer: "e" }, 3).state, AdmitState.Started);
});

test("removing a caller returns the number of callers that remain", (t) => {
  const table = new RequestTable<string>();
  table.admit(REQUEST, 0);
  table.admit(REQUEST, 0);
  t.is(table.removeCaller(1), 1);
  t.is(table.removeCaller(1), 0);
});

test("a run that ends without an outcome frees its key, and cannot end twice", (t) => {
  const table = new RequestTable<string>();
  table.admit(REQUEST, 0);
  table.finish(1, { now: 1 });
  t.deepEqual(table.admit(REQUEST, 2), { state: AdmitState.Started, run: 2 });
  table.finish(1, { now: 3, keep: { outcome: "late", bytes: 1 } });
  t.true(table.isInProgress(2));
  t.is(table.readCounts().kept, 0);
});

test("kept outcomes are limited in number, bytes and age", (t) => {
  const table = new RequestTable<string>({ entries: 3, bytes: 100, age: 50 });
  const end = (requestKey: string, bytes: number, now: number) => {
    const admitted = table.admit({ ...REQUEST, requestKey }, now);
    if (!("run" in admitted)) return t.fail();
    table.finish(admitted.run, { now, keep: { outcome: requestKey, bytes } });
  };
  for (const number of [1, 2, 3, 4]) end(`n${number}`, 1, number);
  t.is(table.readCounts().kept, 3);
  end("large", 98, 5);
  t.deepEqual(table.readCounts(), { inProgress: 0, kept: 3, keptBytes: 100 });
  end("too-large", 101, 6);
  t.is(table.readCounts().kept, 3);
  table.expire(53);
  t.is(table.readCounts().kept, 2);
  table.expire(55);
  t.deepEqual(table.readCounts(), { inProgress: 0, kept: 0, keptBytes: 0 });
});
