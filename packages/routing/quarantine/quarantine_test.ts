/** Tests of the quarantine and of the exchange of its entries between VMs. */
import test from "ava";
import { Quarantine } from "../mod.ts";

/** Starts requests at a target and records a crash of it. */
function crash(
  quarantine: Quarantine,
  digests: readonly string[],
  options: { readonly target: string; readonly now: number },
) {
  for (const digest of digests) quarantine.recordStart(digest, options.target);
  return quarantine.recordCrash(options.target, options.now);
}

function sendAll(from: Quarantine, to: Quarantine, now: number): string[] {
  return to.applyEntries(from.listEntries({ now }), now);
}

test("a request that crashes two targets through different VMs is quarantined on a third", (t) => {
  const [one, two, three] = [
    new Quarantine(),
    new Quarantine(),
    new Quarantine(),
  ];
  crash(one!, ["poison", "other"], { target: "t1", now: 0 });
  sendAll(one!, two!, 100);
  const result = crash(two!, ["poison", "else"], { target: "t2", now: 5_000 });
  t.deepEqual(result.quarantined, ["poison"]);
  sendAll(two!, three!, 5_100);
  t.true(three!.isQuarantined("poison", 5_200));
  t.false(three!.isQuarantined("other", 5_200));
  t.false(two!.isQuarantined("else", 5_200));
});

test("crashes recorded on two VMs add up when they exchange entries, in any order", (t) => {
  const one = new Quarantine();
  const two = new Quarantine();
  crash(one, ["poison"], { target: "t1", now: 0 });
  crash(two, ["poison"], { target: "t2", now: 10 });
  t.deepEqual(sendAll(one, two, 20), ["poison"]);
  t.deepEqual(sendAll(two, one, 30), ["poison"]);
  t.true(one.isQuarantined("poison", 40));
  t.true(two.isQuarantined("poison", 40));
  t.deepEqual(sendAll(one, two, 50), []);
});

test("one crash that several VMs observed counts once", (t) => {
  const one = new Quarantine();
  const two = new Quarantine();
  crash(one, ["shared"], { target: "t1", now: 0 });
  crash(two, ["shared"], { target: "t1", now: 0 });
  sendAll(one, two, 10);
  t.false(two.isQuarantined("shared", 20));
});

test("a complete answer clears a suspect", (t) => {
  const quarantine = new Quarantine();
  crash(quarantine, ["innocent"], { target: "t1", now: 0 });
  quarantine.recordStart("innocent", "t2");
  quarantine.recordEnd("innocent", { target: "t2", complete: true });
  crash(quarantine, ["innocent"], { target: "t3", now: 9_000 });
  t.false(quarantine.isQuarantined("innocent", 9_000));
});

test("suspects are kept on different targets so that a second crash shows which one is the cause", (t) => {
  const quarantine = new Quarantine();
  crash(quarantine, ["poison", "other"], { target: "t1", now: 0 });
  quarantine.recordStart("other", "t2");
  t.deepEqual(quarantine.listSuspectTargets("poison", 1), ["t2"]);
  t.deepEqual(quarantine.listSuspectTargets("fresh", 1), []);
  crash(quarantine, ["poison"], { target: "t3", now: 5_000 });
  t.true(quarantine.isQuarantined("poison", 5_000));
  t.false(quarantine.isQuarantined("other", 5_000));
});

test("a request whose answer had started is not quarantined if another one explains the crashes", (t) => {
  const one = new Quarantine();
  const two = new Quarantine();
  two.recordStart("harmless", "t1");
  two.recordProgress("harmless", "t1");
  two.recordCrash("t1", 0);
  crash(one, ["poison"], { target: "t1", now: 0 });
  two.recordStart("harmless", "t2");
  two.recordProgress("harmless", "t2");
  two.recordCrash("t2", 500);
  t.true(two.isQuarantined("harmless", 510));
  crash(one, ["poison"], { target: "t2", now: 500 });
  sendAll(one, two, 530);
  t.true(two.isQuarantined("poison", 540));
  t.false(two.isQuarantined("harmless", 540));
  sendAll(two, one, 550);
  t.false(one.isQuarantined("harmless", 560));
});

test("a request that crashes targets after its first token is quarantined at the second crash too", (t) => {
  const quarantine = new Quarantine();
  for (const [target, now] of [["t1", 0], ["t2", 5_000]] as const) {
    quarantine.recordStart("midway", target);
    quarantine.recordStart("other", target);
    quarantine.recordProgress("midway", target);
    quarantine.recordEnd("other", { target, complete: true });
    quarantine.recordCrash(target, now);
  }
  t.true(quarantine.isQuarantined("midway", 5_000));
});

test("a new suspect is quarantined although an old suspect ran at the same target", (t) => {
  const quarantine = new Quarantine();
  crash(quarantine, ["old"], { target: "t1", now: 0 });
  crash(quarantine, ["old", "poison"], { target: "t2", now: 9_000 });
  crash(quarantine, ["poison"], { target: "t3", now: 18_000 });
  t.true(quarantine.isQuarantined("poison", 18_000));
});

test("a common failure of many targets does not quarantine the requests that ran there", (t) => {
  const quarantine = new Quarantine();
  for (const target of ["t1", "t2", "t3", "t4"]) {
    crash(quarantine, [`at-${target}`], { target, now: 0 });
  }
  crash(quarantine, ["at-t3"], { target: "t5", now: 500 });
  t.false(quarantine.isQuarantined("at-t3", 600));
  t.false(quarantine.isQuarantined("at-t4", 600));
});

test("a request running at several crashed targets is not spared as a common failure", (t) => {
  const quarantine = new Quarantine();
  for (const target of ["t1", "t2", "t3"]) {
    quarantine.recordStart("poison", target);
  }
  for (const target of ["t1", "t2"]) quarantine.recordCrash(target, 0);
  t.true(quarantine.isQuarantined("poison", 10));
  const released = 20;
  quarantine.release("poison", released);
  quarantine.recordCrash("t3", 30);
  crash(quarantine, ["poison"], { target: "t4", now: 40 });
  t.true(quarantine.isQuarantined("poison", 50));
});

test("entries of peers that have not received a release do not undo it", (t) => {
  const one = new Quarantine();
  const two = new Quarantine();
  for (const target of ["t1", "t2"]) {
    crash(one, ["blamed"], { target, now: 0 });
  }
  sendAll(one, two, 10);
  two.release("blamed", 20);
  t.deepEqual(sendAll(one, two, 30), []);
  t.false(two.isQuarantined("blamed", 40));
  sendAll(two, one, 50);
  t.false(one.isQuarantined("blamed", 60));
  crash(one, ["blamed"], { target: "t8", now: 70 });
  crash(one, ["blamed"], { target: "t9", now: 5_000 });
  t.true(one.isQuarantined("blamed", 5_000));
});

test("a suspect expires before a quarantined digest does, and the number of entries is bounded", (t) => {
  const quarantine = new Quarantine();
  crash(quarantine, ["suspect"], { target: "t1", now: 0 });
  for (const target of ["t2", "t3"]) {
    crash(quarantine, ["poison"], { target, now: 10_000 });
  }
  const hour = 3_600_000;
  crash(quarantine, ["suspect"], { target: "t4", now: hour });
  t.false(quarantine.isQuarantined("suspect", hour));
  t.true(quarantine.isQuarantined("poison", hour));
  t.false(quarantine.isQuarantined("poison", 25 * hour));
  const many = Array.from({ length: 12_000 }, (_, index) => `d${index}`);
  crash(quarantine, many, { target: "t5", now: hour });
  t.is(quarantine.listEntries({ now: hour }).length, 10_000);
  t.true(quarantine.isQuarantined("poison", hour));
});
