/** Tests of budget rows after a restore of the store from an older copy. */
import test from "ava";
import fc from "fast-check";
import {
  createStoreVersion,
  type JsonValue,
  type Row,
  type RowOperation,
  type Tokens,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  createBudgetRow,
  createGrantExchange,
  isRestoring,
  type KnownRow,
  MAX_RESTORE_PAUSE,
  mergeKnownRow,
  parseBudgetRow,
  recordChange,
  RESTORE_PAUSE,
} from "../mod.ts";

const LIMIT: Tokens = 1_000;
const KEY = "budget/e";
const VMS = 4;

/** A VM's open grant and what it knows of the row. */
interface Vm {
  readonly name: string;
  grant?: { readonly id: string; size: Tokens };
  /** Tokens of closed grants that it has spent. */
  spent: Tokens;
  known?: KnownRow;
}

/** One row of a store that can be restored, and the VMs that use it. */
class RestorableBudget {
  readonly vms: Vm[] = Array.from(
    { length: VMS },
    (_, index) => ({ name: `v${index}`, spent: 0 }),
  );
  #era = 1;
  #number = 1;
  #row: Row = {
    key: KEY,
    version: createStoreVersion(1, 1),
    value: { ...createBudgetRow(LIMIT), era: 1 },
  };
  #copy = { row: this.#row, number: 1 };
  #exchanges = 0;

  copy(): void {
    this.#copy = { row: this.#row, number: this.#number };
  }

  restore(): void {
    this.#era++;
    const { row, number } = this.#copy;
    this.#number = number;
    const version = createStoreVersion(
      this.#era,
      row.version % createStoreVersion(1, 0),
    );
    this.#row = { ...row, version };
  }

  read(): BudgetRow {
    return parseBudgetRow(this.#row.value).unsafeCoerce();
  }

  /** Runs an operation as a VM does: it merges what it knows first. */
  run<Result>(vm: Vm, operation?: RowOperation<Result>): Result | undefined {
    const { version } = this.#row;
    const merged = mergeKnownRow(this.read(), {
      vm: vm.name,
      version,
      known: vm.known,
      now: 0,
    });
    const value = { ...merged } as unknown as JsonValue;
    const decision = operation?.decide(
      new Map([[KEY, { ...this.#row, value }]]),
    );
    const changed = decision?.writes[0]?.value;
    this.#row = {
      key: KEY,
      version: createStoreVersion(this.#era, ++this.#number),
      value: changed === undefined
        ? value
        : { ...recordChange(changed as unknown as BudgetRow) } as JsonValue,
    };
    vm.known = this.#row;
    return decision?.result;
  }

  take(vm: Vm, wanted: Tokens): void {
    const grantId = `${vm.name}/${this.#exchanges++}`;
    const result = this.run(
      vm,
      createGrantExchange({
        eventId: "e",
        id: grantId,
        initialLimit: LIMIT,
        take: {
          grantId,
          ...(vm.grant === undefined ? {} : { into: vm.grant.id }),
          holder: { vm: vm.name, incarnation: "1" },
          wanted,
          least: 1,
          wallTime: 0,
        },
      }),
    )!;
    if (result.size === 0) return;
    const id = result.grownGrantId ?? grantId;
    vm.grant = { id, size: (vm.grant?.size ?? 0) + result.size };
  }

  /** Closes a VM's grant, of which a part is spent. */
  close(vm: Vm, part: number): void {
    if (vm.grant === undefined) return;
    const { id, size } = vm.grant;
    const spent = Math.floor(size * part);
    this.run(
      vm,
      createGrantExchange({
        eventId: "e",
        id: `${vm.name}/${this.#exchanges++}`,
        initialLimit: LIMIT,
        closes: [{ grantId: id, spent, loans: [] }],
      }),
    );
    vm.spent += spent;
    delete vm.grant;
  }

  /** Returns the tokens that VMs have spent or may still spend. */
  sumUsed(): Tokens {
    return this.vms.reduce(
      (sum, { spent, grant }) => sum + spent + (grant?.size ?? 0),
      0,
    );
  }
}

/** What one VM does: it takes tokens, or closes its grant. */
const STEP = fc.record({
  vm: fc.integer({ min: 0, max: VMS - 1 }),
  wanted: fc.integer({ min: 1, max: 200 }),
  closes: fc.option(fc.double({ min: 0, max: 1, noNaN: true })),
});

type Step = typeof STEP extends fc.Arbitrary<infer Value> ? Value : never;

function play(budget: RestorableBudget, steps: readonly Step[]): void {
  for (const { vm, wanted, closes } of steps) {
    const chosen = budget.vms[vm]!;
    if (closes === null) budget.take(chosen, wanted);
    else budget.close(chosen, closes);
  }
}

// Guards against tokens that are granted a second time after a restore, and
// against false refusals after one without a kill.
test("no token is granted twice or lost once all VMs have merged what they know", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.array(STEP, { maxLength: 12 }), {
        minLength: 3,
        maxLength: 4,
      }),
      fc.shuffledSubarray([0, 1, 2, 3], { minLength: VMS, maxLength: VMS }),
      (parts, order) => {
        const budget = new RestorableBudget();
        const [before, ...lost] = parts;
        play(budget, before!);
        for (const steps of lost) {
          budget.copy();
          play(budget, steps);
          const left = computeBudgetLeft(budget.read());
          budget.restore();
          for (const vm of order) budget.run(budget.vms[vm]!);
          t.is(computeBudgetLeft(budget.read()), left);
        }
        play(budget, parts.flat());
        t.true(budget.sumUsed() <= LIMIT);
      },
    ),
    { seed: 44, numRuns: 500 },
  );
});

test("what a VM knows is added to a row that others have changed since", (t) => {
  const budget = new RestorableBudget();
  const [first, second, third] = budget.vms;
  budget.take(first!, 100);
  budget.copy();
  budget.take(second!, 200);
  budget.restore();
  budget.take(third!, 300);
  budget.run(second!);
  t.is(computeBudgetLeft(budget.read()), LIMIT - 600);
});

test("an older value that a VM knows doesn't replace a newer row", (t) => {
  const budget = new RestorableBudget();
  const [first, second] = budget.vms;
  budget.take(first!, 100);
  budget.take(second!, 200);
  budget.close(second!, 0);
  budget.copy();
  budget.restore();
  budget.run(first!);
  t.is(computeBudgetLeft(budget.read()), LIMIT - 100);
});

test("tokens are taken again some time after the first write since a restore", (t) => {
  const row = { ...createBudgetRow(LIMIT), era: 1 };
  const version = createStoreVersion(2, 7);
  const merged = mergeKnownRow(row, {
    vm: "v0",
    version,
    known: undefined,
    now: 5_000,
  });
  t.is(merged.era, 2);
  t.true(isRestoring(merged, 5_000 + RESTORE_PAUSE - 1));
  t.false(isRestoring(merged, 5_000 + RESTORE_PAUSE));
});

test("tokens are taken again once all holders have merged, or are taken for lost", (t) => {
  const budget = new RestorableBudget();
  const [first, second, third] = budget.vms;
  budget.take(first!, 100);
  budget.copy();
  budget.take(second!, 200);
  budget.restore();
  budget.run(third!);
  const isOver = (now: number) => !isRestoring(budget.read(), now);
  t.false(isOver(RESTORE_PAUSE));
  t.true(isOver(MAX_RESTORE_PAUSE));
  budget.run(second!);
  t.false(isOver(RESTORE_PAUSE));
  // A VM that has restarted knows of no earlier value.
  delete first!.known;
  budget.run(first!);
  t.true(isOver(RESTORE_PAUSE));
  t.false(isOver(RESTORE_PAUSE - 1));
  budget.take(third!, 50);
  t.true(isOver(RESTORE_PAUSE));
});

test("a VM that is listed as a holder later merges nothing of the present era again", (t) => {
  for (const hasChanged of [false, true]) {
    const budget = new RestorableBudget();
    const [first, second, third] = budget.vms;
    budget.copy();
    budget.take(first!, 100);
    budget.close(first!, 1);
    budget.take(first!, 100);
    budget.take(second!, 200);
    budget.restore();
    delete first!.known;
    budget.run(first!);
    if (hasChanged) budget.take(third!, 50);
    budget.run(second!);
    const left = computeBudgetLeft(budget.read());
    t.is(left, LIMIT - 400 - (hasChanged ? 50 : 0));
    budget.run(first!);
    t.is(computeBudgetLeft(budget.read()), left);
  }
});

test("what a VM knows is merged though it missed a whole era", (t) => {
  const budget = new RestorableBudget();
  const [first] = budget.vms;
  budget.copy();
  for (let step = 0; step < 3; step++) budget.take(first!, 100);
  budget.restore();
  budget.restore();
  budget.run(first!);
  t.is(computeBudgetLeft(budget.read()), LIMIT - 300);
});

test("a row of a store that counts no restores stays as it is", (t) => {
  const row = createBudgetRow(LIMIT);
  const known = { version: 3, value: { ...row, closed: 7 } };
  t.is(mergeKnownRow(row, { vm: "v0", version: 9, known, now: 0 }), row);
});

test("a row is not in restore because a store begins to count", (t) => {
  const row = createBudgetRow(LIMIT);
  const version = createStoreVersion(1, 9);
  const merged = mergeKnownRow(row, {
    vm: "v0",
    version,
    known: undefined,
    now: 0,
  });
  t.is(merged.era, 1);
  t.false(isRestoring(merged, 0));
});
