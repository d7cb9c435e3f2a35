/**
 * Tests of standby tokens: what a dead life can't have used comes back, and
 * nothing else does.
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
class OneRow {
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

function takeBoth(row: OneRow, incarnation: string) {
  const holder = { vm: "v", incarnation };
  return row.apply(createGrantExchange({
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

function endLives(
  row: OneRow,
  incarnation: string | undefined,
  openPart = 0,
  inUse: readonly string[] = [],
) {
  return row.apply(createEndEarlierIncarnations({
    eventId: "c",
    vm: "v",
    incarnation: "9",
    earlier: incarnation === undefined
      ? undefined
      : { incarnation, unlockedFraction: openPart, inUse },
    initialLimit: 1_000,
    wallTime: 0,
  }));
}

test("standby tokens of a life that ended at once are free, the rest is spent", (t) => {
  const row = new OneRow();
  t.like(takeBoth(row, "1"), { size: 300, standbySize: 400, budgetLeft: 300 });
  t.deepEqual(endLives(row, "1"), {
    freed: 400,
    writtenOff: 300,
    othersRate: 0,
  });
  t.is(computeBudgetLeft(row.read()), 700);
  t.deepEqual(endLives(row, "1"), {
    freed: 0,
    writtenOff: 0,
    othersRate: 0,
  });
});

test("without evidence, or with that of another life, all is spent", (t) => {
  for (const life of [undefined, "0"]) {
    const row = new OneRow();
    takeBoth(row, "1");
    t.deepEqual(endLives(row, life), {
      freed: 0,
      writtenOff: 700,
      othersRate: 0,
    });
  }
});

test("of standby tokens that were open in part, the rest is free", (t) => {
  const row = new OneRow();
  takeBoth(row, "1");
  t.deepEqual(endLives(row, "1", 0.2501), {
    freed: 299,
    writtenOff: 401,
    othersRate: 0,
  });
  t.is(computeBudgetLeft(row.read()), 599);
});

test("standby grants that a life named as in use are spent", (t) => {
  const row = new OneRow();
  takeBoth(row, "1");
  t.like(endLives(row, "1", 0, ["1/1s"]), { freed: 0, writtenOff: 700 });
});

test("loans that came back to a standby grant don't free tokens twice", (t) => {
  const row = new OneRow();
  takeBoth(row, "1");
  // Half was open; 150 of it were lent, of which 100 came back.
  row.apply(createGrantExchange({
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
  t.deepEqual(endLives(row, "1", 0.5), {
    freed: 200,
    writtenOff: 400,
    othersRate: 0,
  });
});

test("standby tokens in use are never freed", (t) => {
  const row = new OneRow();
  takeBoth(row, "1");
  row.apply(createGrantExchange({
    id: "1/2",
    eventId: "c",
    initialLimit: 1_000,
    standby: { used: ["1/1s"] },
  }));
  t.deepEqual(endLives(row, "1"), {
    freed: 0,
    writtenOff: 700,
    othersRate: 0,
  });
});

test("a standby grant that went back can't be freed again", (t) => {
  const row = new OneRow();
  takeBoth(row, "1");
  const drop = createGrantExchange({
    id: "1/2",
    eventId: "c",
    initialLimit: 1_000,
    standby: { drops: ["1/1s"] },
  });
  row.apply(drop);
  row.apply(drop);
  t.is(computeBudgetLeft(row.read()), 700);
  t.deepEqual(endLives(row, "1"), {
    freed: 0,
    writtenOff: 300,
    othersRate: 0,
  });
});

const PRESENCE: Presence = {
  incarnation: "1",
  address: "10.0.0.1:80",
  presentAt: 10_000,
  inUse: [],
};

test("the silence before a life's end bounds what was open", (t) => {
  const end = { presence: PRESENCE, address: "10.0.0.1:80" };
  const findOpenPart = (startedBy: number) =>
    findEarlierIncarnation({ ...end, startedBy })?.unlockedFraction;
  t.is(findOpenPart(10_000), 0);
  t.is(findOpenPart(10_000 + computeUnlockTime(0) - 300), 0);
  t.true(findOpenPart(10_000 + computeUnlockTime(0))! > 0);
  t.true(findOpenPart(10_000 + computeUnlockTime(0.5))! > 0.5);
  t.is(findOpenPart(10_000 + computeUnlockTime(1)), 1);
  t.is(findOpenPart(9_999), undefined);
  const elsewhere = { ...end, address: "10.0.0.2:80" };
  t.is(findEarlierIncarnation({ ...elsewhere, startedBy: 11_000 }), undefined);
});

/**
 * A life with one standby grant that sends its presence at some times, may lose
 * each answer, opens the grant as far as it may, and is killed.
 */
function playLife(
  input: {
    readonly turns: readonly {
      readonly pause: number;
      readonly hasLanded: boolean;
    }[];
    readonly killedAt: number;
    readonly computeOpen: (silence: number) => number;
  },
): {
  readonly presentAt: number | undefined;
  readonly inUse: readonly string[];
  readonly openPart: number;
} {
  const { killedAt, computeOpen } = input;
  let presentAt: number | undefined;
  let inUse: readonly string[] = [];
  let lastSent = 0;
  let openPart = 0;
  let at = 0;
  for (const { pause, hasLanded } of input.turns) {
    at += pause;
    if (at >= killedAt) break;
    openPart = Math.max(openPart, computeOpen(at - lastSent));
    lastSent = at;
    if (!hasLanded) continue;
    presentAt = at;
    inUse = openPart > 0 ? ["1/1s"] : [];
  }
  openPart = Math.max(openPart, computeOpen(killedAt - lastSent));
  return { presentAt, inUse, openPart };
}

const LIFE = fc.record({
  turns: fc.array(
    fc.record({
      pause: fc.integer({ min: 100, max: 5_000 }),
      hasLanded: fc.boolean(),
    }),
    { maxLength: 12 },
  ),
  killedAt: fc.integer({ min: 0, max: 30_000 }),
  downFor: fc.integer({ min: 0, max: 5_000 }),
});

function isMoreUsedThanCounted(
  life: typeof LIFE extends fc.Arbitrary<infer Life> ? Life : never,
  computeOpen: (silence: number) => number,
): boolean {
  const { presentAt, inUse, openPart } = playLife({ ...life, computeOpen });
  if (presentAt === undefined) return false;
  const earlier = findEarlierIncarnation({
    presence: { ...PRESENCE, presentAt, inUse: [...inUse] },
    address: PRESENCE.address,
    startedBy: life.killedAt + life.downFor,
  });
  const isWhole = earlier === undefined || earlier.inUse.length > 0;
  return openPart > (isWhole ? 1 : earlier.unlockedFraction);
}

test("no life has used more of its standby tokens than is counted", (t) => {
  fc.assert(
    fc.property(
      LIFE,
      (life) => !isMoreUsedThanCounted(life, computeUnlockedFraction),
    ),
    { seed: 5, numRuns: 5_000 },
  );
  t.pass();
});

test("the property fails for a life that opens them too early", (t) => {
  const computeEarly = (silence: number) =>
    computeUnlockedFraction(silence + 500);
  const result = fc.check(
    fc.property(LIFE, (life) => !isMoreUsedThanCounted(life, computeEarly)),
    { seed: 5, numRuns: 5_000 },
  );
  t.true(result.failed);
});
