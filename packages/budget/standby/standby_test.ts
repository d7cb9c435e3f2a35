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
  createEndEarlierLives,
  createGrantExchange,
  findUntouchedLife,
  parseBudgetRow,
  type Presence,
  STANDBY_DELAY,
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

function endLives(row: OneRow, untouched: string | undefined) {
  return row.apply(createEndEarlierLives({
    eventId: "c",
    vm: "v",
    incarnation: "9",
    untouched,
    initialLimit: 1_000,
    wallTime: 0,
  }));
}

test("standby tokens of an untouched life are free, the rest is spent", (t) => {
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
  for (const untouched of [undefined, "0"]) {
    const row = new OneRow();
    takeBoth(row, "1");
    t.deepEqual(endLives(row, untouched), {
      freed: 0,
      writtenOff: 700,
      othersRate: 0,
    });
  }
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
};

test("a life is untouched only if it ended soon after its last word", (t) => {
  const end = { presence: PRESENCE, address: "10.0.0.1:80" };
  t.is(findUntouchedLife({ ...end, startedBy: 10_000 }), "1");
  t.is(findUntouchedLife({ ...end, startedBy: 12_900 }), "1");
  t.is(
    findUntouchedLife({ ...end, startedBy: 10_000 + STANDBY_DELAY }),
    undefined,
  );
  t.is(findUntouchedLife({ ...end, startedBy: 9_999 }), undefined);
  const elsewhere = { ...end, address: "10.0.0.2:80" };
  t.is(findUntouchedLife({ ...elsewhere, startedBy: 11_000 }), undefined);
});

/**
 * A life that sends its presence at some times, may lose each answer, uses its
 * standby tokens as soon as it may, and is killed at some time.
 */
function playLife(
  input: {
    readonly sends: readonly number[];
    readonly landed: readonly boolean[];
    readonly killedAt: number;
    readonly delay: number;
  },
): { readonly presentAt: number | undefined; readonly hasUsed: boolean } {
  let presentAt: number | undefined;
  let lastSent = 0;
  let at = 0;
  for (const [index, pause] of input.sends.entries()) {
    at += pause;
    // Once it may use the tokens, no word goes out before the table knows.
    if (at >= input.killedAt || at - lastSent >= input.delay) break;
    lastSent = at;
    if (input.landed[index] === true) presentAt = at;
  }
  return { presentAt, hasUsed: input.killedAt - lastSent >= input.delay };
}

const LIFE = fc.record({
  sends: fc.array(fc.integer({ min: 100, max: 5_000 }), { maxLength: 12 }),
  landed: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
  killedAt: fc.integer({ min: 0, max: 30_000 }),
  downFor: fc.integer({ min: 0, max: 5_000 }),
});

function isFreedThoughUsed(
  life: typeof LIFE extends fc.Arbitrary<infer Life> ? Life : never,
  delay: number,
): boolean {
  const { presentAt, hasUsed } = playLife({ ...life, delay });
  if (presentAt === undefined) return false;
  const untouched = findUntouchedLife({
    presence: { ...PRESENCE, presentAt },
    address: PRESENCE.address,
    startedBy: life.killedAt + life.downFor,
  });
  return untouched !== undefined && hasUsed;
}

test("no life that used its standby tokens is taken for untouched", (t) => {
  fc.assert(
    fc.property(LIFE, (life) => !isFreedThoughUsed(life, STANDBY_DELAY)),
    { seed: 5, numRuns: 5_000 },
  );
  t.pass();
});

test("the property fails for a life that uses them too early", (t) => {
  const result = fc.check(
    fc.property(LIFE, (life) => !isFreedThoughUsed(life, STANDBY_DELAY / 2)),
    { seed: 5, numRuns: 5_000 },
  );
  t.true(result.failed);
});
