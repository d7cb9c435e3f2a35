/** Tests of claims with concurrent, repeated and lost attempts. */
import test from "ava";
import { MemoryRows } from "../../stand_ins/mod.ts";
import {
  type ClaimInput,
  ClaimState,
  createFinishClaim,
  createTakeClaim,
  describeHolder,
  formatClaimKey,
  HolderState,
  MAX_INLINE_ANSWER,
  planKeptAnswer,
} from "../mod.ts";

const FIRST: ClaimInput = {
  customer: "c",
  requestKey: "k",
  digest: "d",
  vm: "a",
  incarnation: "1",
  attempt: 1,
  wallTime: 0,
};
const SECOND: ClaimInput = { ...FIRST, vm: "b" };
const ANSWER = { status: 200, contentType: "text/plain", bodyBase64: "eA==" };
const RAN = { state: "ran" as const, answer: ANSWER, tokens: 1 };

function take(rows: MemoryRows, claim: ClaimInput) {
  return rows.apply(createTakeClaim(claim));
}

test("when two VMs claim one key, one runs the call and both get its answer", (t) => {
  const rows = new MemoryRows();
  t.is(take(rows, FIRST).state, ClaimState.Taken);
  t.is(take(rows, FIRST).state, ClaimState.Taken);
  const { state, holder } = take(rows, SECOND);
  t.is(state, ClaimState.HeldByOther);
  t.deepEqual(holder, { vm: "a", incarnation: "1", attempt: 1 });
  t.false(rows.apply(createFinishClaim(SECOND, RAN)).finishedNow);
  t.true(rows.apply(createFinishClaim(FIRST, RAN)).finishedNow);
  t.false(rows.apply(createFinishClaim(FIRST, RAN)).finishedNow);
  for (const claim of [FIRST, SECOND]) {
    t.deepEqual(take(rows, claim), { state: ClaimState.Ran, answer: ANSWER });
  }
});

test("a second attempt on the same VM does not share the first attempt's claim", (t) => {
  const rows = new MemoryRows();
  take(rows, FIRST);
  const retry = take(rows, { ...FIRST, attempt: 2 });
  t.is(retry.state, ClaimState.HeldByOther);
});

test("a key reused with a different body is refused, before and after the call ends", (t) => {
  const rows = new MemoryRows();
  take(rows, FIRST);
  const other = { ...SECOND, digest: "x" };
  t.is(take(rows, other).state, ClaimState.OtherBody);
  rows.apply(createFinishClaim(FIRST, RAN));
  t.is(take(rows, other).state, ClaimState.OtherBody);
});

test("a call that was not run frees its key, except for the ended attempt", (t) => {
  const rows = new MemoryRows();
  take(rows, FIRST);
  rows.apply(createFinishClaim(FIRST, { state: "not-run" }));
  t.is(take(rows, FIRST).state, ClaimState.Ended);
  t.is(take(rows, SECOND).state, ClaimState.Taken);
  t.false(rows.apply(createFinishClaim(FIRST, RAN)).finishedNow);
});

test("finishing an unwritten claim as not run blocks its delayed write", (t) => {
  const rows = new MemoryRows();
  rows.apply(createFinishClaim(FIRST, { state: "not-run" }));
  t.not(rows.peek(formatClaimKey("c", "k")), undefined);
  t.is(take(rows, FIRST).state, ClaimState.Ended);
  t.is(take(rows, SECOND).state, ClaimState.Taken);
});

test("a call with an unknown outcome cannot be claimed again", (t) => {
  const rows = new MemoryRows();
  take(rows, FIRST);
  rows.apply(createFinishClaim(FIRST, { state: "unknown" }));
  t.is(take(rows, SECOND).state, ClaimState.Unknown);
  t.is(take(rows, FIRST).state, ClaimState.Unknown);
});

test("a call that ran but has no kept answer is unknown for every attempt", (t) => {
  const rows = new MemoryRows();
  const { digest, vm, incarnation, attempt } = FIRST;
  const key = formatClaimKey("c", "k");
  const value = {
    digest,
    vm,
    incarnation,
    attempt: attempt ?? 0,
    state: "ran",
    claimedAt: 0,
  };
  const write = { writes: [{ key, value }], result: undefined };
  rows.apply({ id: "damage", keys: [key], decide: () => write });
  t.is(take(rows, FIRST).state, ClaimState.Unknown);
  t.is(take(rows, SECOND).state, ClaimState.Unknown);
});

test("a holder whose incarnation ended is lost, a slow holder is running", (t) => {
  const holder = { vm: "a", incarnation: "1", attempt: 3 };
  const describe = (self: string, hasEnded: boolean, running: boolean) =>
    describeHolder(holder, {
      self: { vm: self, incarnation: "1" },
      isInProgress: () => running,
      isLifeOver: () => hasEnded,
    });
  t.is(describe("b", true, false), HolderState.Lost);
  t.is(describe("b", false, false), HolderState.Running);
  t.is(describe("a", false, true), HolderState.Running);
  t.is(describe("a", false, false), HolderState.Lost);
});

test("a large answer is kept in the object store under a key of its attempt", (t) => {
  const input = { status: 200, contentType: "text/plain" };
  const small = new Uint8Array(MAX_INLINE_ANSWER);
  t.is(planKeptAnswer(FIRST, { ...input, body: small }).object, undefined);
  const large = new Uint8Array(MAX_INLINE_ANSWER + 1);
  const first = planKeptAnswer(FIRST, { ...input, body: large });
  const second = planKeptAnswer(SECOND, { ...input, body: large });
  t.not(first.object?.key, second.object?.key);
  const rows = new MemoryRows();
  take(rows, FIRST);
  const end = { state: "ran" as const, answer: first.answer, tokens: 1 };
  rows.apply(createFinishClaim(FIRST, end));
  t.deepEqual(take(rows, SECOND).answer, first.answer);
});
