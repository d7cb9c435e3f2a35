/**
 * Property tests: apply the same random calls to the row operations and to the
 * decisions of the model. Both must agree after every call. Faulty variants of
 * the operations show that a difference is detected.
 */
import test from "ava";
import fc from "fast-check";
import type { RowOperation } from "../core/mod.ts";
import {
  computeBudgetLeft,
  createCloseGrant,
  createTakeGrant,
  createTopUp,
  createWriteOff,
  formatBudgetKey,
  LossEvidenceKind,
  parseBudgetRow,
} from "../budget/mod.ts";
import type {
  BudgetCall,
  BudgetValue,
  ClaimEndStatus,
  ClaimValue,
} from "../model/mod.ts";
import {
  CallKind,
  ClaimStatus,
  decideBudgetCall,
  decideClaim,
  decideClaimEnd,
} from "../model/mod.ts";
import type { ClaimEnd, ClaimInput } from "../request/mod.ts";
import {
  createFinishClaim,
  createTakeClaim,
  formatClaimKey,
  parseClaimRow,
} from "../request/mod.ts";
import { MemoryRows } from "../stand_ins/mod.ts";

const SEED = 4;

const RUNS = 2_000;

const STEPS = 40;

const SLOTS = [0, 1, 2, 3];

const LIMIT = 2;

const allOn = () => true;

type CreateCall = (call: BudgetCall) => RowOperation<unknown>;

/**
 * Returns the row operation of a call; each slot is the grant of its own VM.
 */
function createCall(call: BudgetCall): RowOperation<unknown> {
  const common = { eventId: "e", initialLimit: LIMIT, wallTime: 0 };
  const vm = `vm-${call.slot}`;
  const grantId = `${vm}/1/1`;
  switch (call.kind) {
    case CallKind.Take: {
      const holder = { vm, incarnation: "1" };
      return createTakeGrant({
        ...common,
        ...holder,
        grantId,
        wanted: 1,
        least: 1,
      });
    }
    case CallKind.Close: {
      const { spent } = call;
      return createCloseGrant({ ...common, grantId, spent, loans: [] });
    }
    case CallKind.TopUp:
      return createTopUp({ ...common, topUpId: "t", tokens: 1 });
    case CallKind.WriteOff: {
      const kind = LossEvidenceKind.LaterIncarnation;
      const evidence = { kind, vm, incarnation: "2" } as const;
      return createWriteOff({ ...common, evidence }).unsafeCoerce();
    }
  }
}

/** Converts the stored rows to the model's budget value. */
function readBudgetValue(rows: MemoryRows): BudgetValue {
  const value = rows.peek(formatBudgetKey("e")) ??
    { limit: LIMIT, closed: 0, grants: {} };
  const row = parseBudgetRow(value).unsafeCoerce();
  const sizeOf = (entry: { readonly size: number } | undefined) =>
    entry?.size ?? 0;
  return {
    limit: row.limit,
    closed: row.closed,
    grants: SLOTS.map((slot) => sizeOf(row.grants[`vm-${slot}/1/1`])),
    writeOffs: SLOTS.map((slot) => sizeOf(row.writeOffs?.[`vm-${slot}/1/1`])),
    toppedUp: rows.list("topup/").length > 0,
  };
}

const BUDGET_CALLS: fc.Arbitrary<BudgetCall[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(...Object.values(CallKind)),
    slot: fc.constantFrom(...SLOTS),
    spent: fc.constantFrom(0, 1),
  }),
  { minLength: 1, maxLength: STEPS },
);

/** Returns whether the rows and the model agree after every call. */
function isBudgetAgreed(
  calls: readonly BudgetCall[],
  create: CreateCall,
): boolean {
  const rows = new MemoryRows();
  let value = readBudgetValue(rows);
  return calls.every((call) => {
    rows.apply(create(call));
    value = decideBudgetCall(value, call, allOn) ?? value;
    const real = readBudgetValue(rows);
    const left = value.limit - value.closed -
      value.grants.reduce((sum, size) => sum + size, 0);
    const row = rows.peek(formatBudgetKey("e"));
    const realLeft = row === undefined
      ? LIMIT
      : parseBudgetRow(row).map(computeBudgetLeft).unsafeCoerce();
    return JSON.stringify(real) === JSON.stringify(value) && left === realLeft;
  });
}

test("the budget row and the model agree on random calls", (t) => {
  fc.assert(
    fc.property(BUDGET_CALLS, (calls) => isBudgetAgreed(calls, createCall)),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

/** Hides the rows whose keys have a prefix from an operation. */
function dropRows(operation: RowOperation<unknown>, prefix: string) {
  return {
    ...operation,
    decide: (rows) =>
      operation.decide(
        new Map([...rows].filter(([key]) => !key.startsWith(prefix))),
      ),
  } satisfies RowOperation<unknown>;
}

const FAULTY_CALLS: Readonly<Record<string, CreateCall>> = {
  "a top-up that does not check its id": (call) =>
    dropRows(createCall(call), "topup/"),
  "a take that does not see other grants": (call) =>
    call.kind === CallKind.Take
      ? dropRows(createCall(call), "budget/")
      : createCall(call),
  "a close that reports nothing as spent": (call) =>
    createCall(call.kind === CallKind.Close ? { ...call, spent: 0 } : call),
  "a write-off that closes the grant as unspent": (call) =>
    call.kind === CallKind.WriteOff
      ? createCall({ ...call, kind: CallKind.Close, spent: 0 })
      : createCall(call),
};

for (const [name, create] of Object.entries(FAULTY_CALLS)) {
  test(`${name} is detected as a difference`, (t) => {
    const details = fc.check(
      fc.property(BUDGET_CALLS, (calls) => isBudgetAgreed(calls, create)),
      { seed: SEED, numRuns: RUNS },
    );
    t.true(details.failed);
  });
}

/** The attempts of the claims model: two at VM a, one at VM b. */
const ATTEMPTS = [
  { vm: "a", attempt: 1 },
  { vm: "a", attempt: 2 },
  { vm: "b", attempt: 1 },
];

interface ClaimCall {
  readonly attempt: number;
  readonly end?: ClaimEndStatus;
}

const ENDS: Readonly<Record<ClaimEndStatus, ClaimEnd>> = {
  [ClaimStatus.Ran]: {
    state: "ran",
    answer: { status: 200, contentType: "", bodyBase64: "" },
    tokens: 0,
  },
  [ClaimStatus.NotRun]: { state: "not-run" },
  [ClaimStatus.Unknown]: { state: "unknown" },
};

const STATUSES = {
  open: ClaimStatus.Open,
  ran: ClaimStatus.Ran,
  "not-run": ClaimStatus.NotRun,
  unknown: ClaimStatus.Unknown,
};

const CLAIM_CALLS: fc.Arbitrary<ClaimCall[]> = fc.array(
  fc.record({
    attempt: fc.nat({ max: ATTEMPTS.length - 1 }),
    end: fc.constantFrom(
      ClaimStatus.Ran as const,
      ClaimStatus.NotRun as const,
      ClaimStatus.Unknown as const,
    ),
  }, { requiredKeys: ["attempt"] }),
  { minLength: 1, maxLength: STEPS },
);

function createClaimInput(attempt: number): ClaimInput {
  return {
    customer: "c",
    requestKey: "k",
    digest: "d",
    incarnation: "1",
    wallTime: 0,
    ...ATTEMPTS[attempt]!,
  };
}

function readClaimValue(rows: MemoryRows): ClaimValue {
  const value = rows.peek(formatClaimKey("c", "k"));
  if (value === undefined) return { status: ClaimStatus.Free, holder: -1 };
  const row = parseClaimRow(value).unsafeCoerce();
  const holder = ATTEMPTS
    .findIndex((each) => each.vm === row.vm && each.attempt === row.attempt);
  return { status: STATUSES[row.state], holder };
}

/** The model's name of each state that the operation of a claim returns. */
const DECISION_KINDS: Readonly<Record<string, string>> = {
  taken: "taken",
  ran: "ran",
  unknown: "unknown",
  "held-by-other": "held",
  ended: "ended",
};

function isClaimAgreed(
  calls: readonly ClaimCall[],
  createInput: (attempt: number) => ClaimInput,
): boolean {
  const rows = new MemoryRows();
  let value = readClaimValue(rows);
  return calls.every(({ attempt, end }) => {
    const input = createInput(attempt);
    if (end !== undefined) {
      rows.apply(createFinishClaim(input, ENDS[end]));
      value = decideClaimEnd(value, attempt, end) ?? value;
      return JSON.stringify(readClaimValue(rows)) === JSON.stringify(value);
    }
    const { state } = rows.apply(createTakeClaim(input));
    const decision = decideClaim(value, attempt, allOn);
    const expected = decision.kind === "write" ? "taken" : decision.kind;
    if (decision.kind === "write") value = decision.value;
    const same = JSON.stringify(readClaimValue(rows)) === JSON.stringify(value);
    return same && DECISION_KINDS[state] === expected;
  });
}

test("the claim row and the model agree on random calls", (t) => {
  fc.assert(
    fc.property(CLAIM_CALLS, (calls) => isClaimAgreed(calls, createClaimInput)),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("a claim that names only the VM is detected as a difference", (t) => {
  const createInput = (attempt: number) => ({
    ...createClaimInput(attempt),
    attempt: 1,
  });
  const details = fc.check(
    fc.property(CLAIM_CALLS, (calls) => isClaimAgreed(calls, createInput)),
    { seed: SEED, numRuns: RUNS },
  );
  t.true(details.failed);
});
