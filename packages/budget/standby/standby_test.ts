/**
 * Tests of standby tokens: tokens that a dead incarnation can't have used are
 * returned to the budget, and no others.
 */
import test from "ava";
import fc from "fast-check";
import type { Row, RowOperation, RowView } from "../../core/mod.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  computeUnlockedFraction,
  computeUnlockTime,
  createEndEarlierIncarnations,
  createGrantExchange,
  findEarlierIncarnation,
  parseBudgetRow,
  type Presence,
} from "../mod.ts";

/** One budget row to which operations are applied. */
class SingleRowStore {
  #rows: RowView = new Map<string, Row>();

  apply<Result>(operation: RowOperation<Result>): Result {
    const { writes, result } = operation.decide(this.#rows);
    const rows = new Map(this.#rows);
    for (const { key, value } of writes) {
      rows.set(key, { key, version: 1, value: value! });
    }
    this.#rows = rows;
    return result;
  }

  read(): BudgetRow {
    return parseBudgetRow(this.#rows.get("budget/c")!.value).unsafeCoerce();
  }
}

function takeGrantAndStandby(store: SingleRowStore, incarnation: string) {
  const holder = { vm: "v", incarnation };
  return store.apply(createGrantExchange({
    id: incarnation,
    eventId: "c",
    initialLimit: 1_000,
    take: {
      grantId: `${incarnation}/1`,
      holder,
      wanted: 300,
      least: 1,
      wallTime: 0,
    },
    standby: {
      take: { grantId: `${incarnation}/1s`, holder, wanted: 400, wallTime: 0 },
    },
  }));
}

function endIncarnations(
  store: SingleRowStore,
  incarnation: string | undefined,
  fraction = 0,
  inUse: readonly string[] = [],
) {
  return store.apply(createEndEarlierIncarnations({
    eventId: "c",
    vm: "v",
    incarnation: "9",
    earlier: incarnation === undefined
      ? undefined
      : { incarnation, unlockedFraction: fraction, inUse },
    initialLimit: 1_000,
    wallTime: 0,
  }));
}

test("standby tokens of an incarnation that unlocked none of them are freed, the rest counts as spent", (t) => {
  const store = new SingleRowStore();
  t.like(takeGrantAndStandby(store, "1"), {
    size: 300,
    standbySize: 400,
    budgetLeft: 300,
  });
  t.deepEqual(endIncarnations(store, "1"), {
    freed: 400,
    writtenOff: 300,
    reportedSpent: 0,
    othersRate: 0,
  });
  t.is(computeBudgetLeft(store.read()), 700);
  t.deepEqual(endIncarnations(store, "1"), {
    freed: 0,
    writtenOff: 0,
    reportedSpent: 0,
    othersRate: 0,
  });
});

test("what an incarnation had reported as spent is told from what may be lost", (t) => {
  const store = new SingleRowStore();
  takeGrantAndStandby(store, "1");
  store.apply(createGrantExchange({
    id: "report",
    eventId: "c",
    initialLimit: 1_000,
    // What is spent is stored only with another change.
    take: {
      grantId: "1/2",
      holder: { vm: "v", incarnation: "1" },
      wanted: 50,
      least: 1,
      wallTime: 0,
    },
    spent: [{ grantId: "1/1", spent: 120 }],
  }));
  t.like(endIncarnations(store, "1"), { writtenOff: 350, reportedSpent: 120 });
});

test("without evidence, or with that of another incarnation, all tokens count as spent", (t) => {
  for (const evidence of [undefined, "0"]) {
    const store = new SingleRowStore();
    takeGrantAndStandby(store, "1");
    t.deepEqual(endIncarnations(store, evidence), {
      freed: 0,
      writtenOff: 700,
      reportedSpent: 0,
      othersRate: 0,
    });
  }
});

test("of partly unlocked standby tokens, the locked ones are freed", (t) => {
  const store = new SingleRowStore();
  takeGrantAndStandby(store, "1");
  t.deepEqual(endIncarnations(store, "1", 0.2501), {
    freed: 299,
    writtenOff: 401,
    reportedSpent: 0,
    othersRate: 0,
  });
  t.is(computeBudgetLeft(store.read()), 599);
});

test("standby grants that an incarnation reported as in use count as spent", (t) => {
  const store = new SingleRowStore();
  takeGrantAndStandby(store, "1");
  t.like(endIncarnations(store, "1", 0, ["1/1s"]), {
    freed: 0,
    writtenOff: 700,
  });
});

test("returned loans of a standby grant don't free tokens twice", (t) => {
  const store = new SingleRowStore();
  takeGrantAndStandby(store, "1");
  // Half was unlocked; 150 of it were lent, of which 100 were returned.
  store.apply(createGrantExchange({
    id: "2",
    eventId: "c",
    initialLimit: 1_000,
    returns: [{
      transferId: "t",
      lenderGrantId: "1/1s",
      unspent: 100,
      isLast: true,
    }],
  }));
  t.deepEqual(endIncarnations(store, "1", 0.5), {
    freed: 200,
    writtenOff: 400,
    reportedSpent: 0,
    othersRate: 0,
  });
});

test("standby tokens in use are never freed", (t) => {
  const store = new SingleRowStore();
  takeGrantAndStandby(store, "1");
  store.apply(createGrantExchange({
    id: "1/2",
    eventId: "c",
    initialLimit: 1_000,
    standby: { used: ["1/1s"] },
  }));
  t.deepEqual(endIncarnations(store, "1"), {
    freed: 0,
    writtenOff: 700,
    reportedSpent: 0,
    othersRate: 0,
  });
});

test("a standby grant that was returned can't be freed again", (t) => {
  const store = new SingleRowStore();
  takeGrantAndStandby(store, "1");
  const drop = createGrantExchange({
    id: "1/2",
    eventId: "c",
    initialLimit: 1_000,
    standby: { drops: ["1/1s"] },
  });
  store.apply(drop);
  store.apply(drop);
  t.is(computeBudgetLeft(store.read()), 700);
  t.deepEqual(endIncarnations(store, "1"), {
    freed: 0,
    writtenOff: 300,
    reportedSpent: 0,
    othersRate: 0,
  });
});

const PRESENCE: Presence = {
  incarnation: "1",
  address: "10.0.0.1:80",
  presentAt: 10_000,
  inUse: [],
};

test("the time since the last presence update bounds the unlocked fraction", (t) => {
  const end = { presence: PRESENCE, address: "10.0.0.1:80" };
  const findUnlockedFraction = (startedBy: number) =>
    findEarlierIncarnation({ ...end, startedBy })?.unlockedFraction;
  t.is(findUnlockedFraction(10_000), 0);
  t.is(findUnlockedFraction(10_000 + computeUnlockTime(0) - 300), 0);
  t.true(findUnlockedFraction(10_000 + computeUnlockTime(0))! > 0);
  t.true(findUnlockedFraction(10_000 + computeUnlockTime(0.5))! > 0.5);
  t.is(findUnlockedFraction(10_000 + computeUnlockTime(1)), 1);
  t.is(findUnlockedFraction(9_999), undefined);
  const elsewhere = { ...end, address: "10.0.0.2:80" };
  t.is(findEarlierIncarnation({ ...elsewhere, startedBy: 11_000 }), undefined);
});

/**
 * Simulates an incarnation with one standby grant. It sends presence updates,
 * each of which may be lost, unlocks the grant as far as `computeUnlocked`
 * allows, and is killed.
 */
function simulateIncarnation(
  input: {
    readonly updates: readonly {
      readonly pause: number;
      readonly isStored: boolean;
    }[];
    readonly killedAt: number;
    readonly computeUnlocked: (presenceAge: number) => number;
  },
): {
  readonly presentAt: number | undefined;
  readonly inUse: readonly string[];
  readonly unlockedFraction: number;
} {
  const { killedAt, computeUnlocked } = input;
  let presentAt: number | undefined;
  let inUse: readonly string[] = [];
  let lastSent = 0;
  let unlockedFraction = 0;
  let at = 0;
  for (const { pause, isStored } of input.updates) {
    at += pause;
    if (at >= killedAt) break;
    unlockedFraction = Math.max(
      unlockedFraction,
      computeUnlocked(at - lastSent),
    );
    lastSent = at;
    if (!isStored) continue;
    presentAt = at;
    inUse = unlockedFraction > 0 ? ["1/1s"] : [];
  }
  unlockedFraction = Math.max(
    unlockedFraction,
    computeUnlocked(killedAt - lastSent),
  );
  return { presentAt, inUse, unlockedFraction };
}

const INCARNATION = fc.record({
  updates: fc.array(
    fc.record({
      pause: fc.integer({ min: 100, max: 5_000 }),
      isStored: fc.boolean(),
    }),
    { maxLength: 12 },
  ),
  killedAt: fc.integer({ min: 0, max: 30_000 }),
  downFor: fc.integer({ min: 0, max: 5_000 }),
});

function isUseUndercounted(
  run: typeof INCARNATION extends fc.Arbitrary<infer Run> ? Run : never,
  computeUnlocked: (presenceAge: number) => number,
): boolean {
  const { presentAt, inUse, unlockedFraction } = simulateIncarnation({
    ...run,
    computeUnlocked,
  });
  if (presentAt === undefined) return false;
  const earlier = findEarlierIncarnation({
    presence: { ...PRESENCE, presentAt, inUse: [...inUse] },
    address: PRESENCE.address,
    startedBy: run.killedAt + run.downFor,
  });
  const isFullyUsed = earlier === undefined || earlier.inUse.length > 0;
  return unlockedFraction > (isFullyUsed ? 1 : earlier.unlockedFraction);
}

test("no incarnation has used more of its standby tokens than is counted", (t) => {
  fc.assert(
    fc.property(
      INCARNATION,
      (run) => !isUseUndercounted(run, computeUnlockedFraction),
    ),
    { seed: 5, numRuns: 5_000 },
  );
  t.pass();
});

test("the property fails for an incarnation that unlocks standby tokens too early", (t) => {
  const computeEarly = (presenceAge: number) =>
    computeUnlockedFraction(presenceAge + 500);
  const result = fc.check(
    fc.property(
      INCARNATION,
      (run) => !isUseUndercounted(run, computeEarly),
    ),
    { seed: 5, numRuns: 5_000 },
  );
  t.true(result.failed);
});
