/**
 * Tests of standby tokens over many incarnations of one VM. They guard against
 * spending tokens twice: if a restart frees tokens that the process before it
 * had used, the customer's budget is overspent. Exchanges and presence updates
 * are lost or left without an answer at random.
 */
import test from "ava";
import {
  Accounts,
  type BudgetRow,
  computeBudgetLeft,
  createEndEarlierIncarnations,
  createGrantExchange,
  type EarlierIncarnation,
  type ExchangeInput,
  findEarlierIncarnation,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  parseBudgetRow,
  planExchange,
  planHolding,
  type Presence,
  receiveExchange,
  settleReservation,
} from "../../../budget/mod.ts";
import { SeededRandom } from "../../../bench/mod.ts";
import {
  BudgetPreference,
  createManualClock,
  Kernel,
  type ManualClock,
  type Tokens,
} from "../../../core/mod.ts";
import type { StoreWriter } from "../../../ports/mod.ts";
import { createSilentLog } from "../../../runtime/mod.ts";
import { MemoryRows } from "../../../stand_ins/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import {
  type BudgetState,
  createBudgetState,
  sumUnlockedTokens,
} from "./budget_state.ts";
import { listInUse, StandbyTokens } from "./standby_tokens.ts";

const CUSTOMER = "tours";
const LIMIT = 10_000;
const ADDRESS = "10.0.0.1:80";

/** Spending rate that each process reports, in tokens per second. */
const RATE = 300;

/** One incarnation of the VM, with the state of one customer's budget. */
class VmProcess {
  readonly clock: ManualClock;
  readonly accounts: Accounts;
  readonly standby: StandbyTokens;
  readonly budget: BudgetState;
  readonly incarnation: string;
  lastSent: number;
  #grantSequence = 0;

  constructor(clock: ManualClock, incarnation: string) {
    this.clock = clock;
    this.incarnation = incarnation;
    this.lastSent = clock.readMonotonic();
    const kernel = new Kernel();
    this.accounts = new Accounts({ kernel, clock });
    this.accounts.register();
    const context = {
      clock,
      log: createSilentLog(),
    } as unknown as GatewayContext;
    this.standby = new StandbyTokens(context, {
      accounts: this.accounts,
      computePresenceAge: () => clock.readMonotonic() - this.lastSent,
      isStoreDown: () => true,
    });
    this.budget = createBudgetState({
      customer: CUSTOMER,
      prepaid: LIMIT,
      writer: undefined as unknown as StoreWriter,
    });
  }

  /** Plans and starts an exchange as a gateway does; undefined for none. */
  startExchange(): GrantExchange | undefined {
    const { budget } = this;
    if (budget.exchanging) return undefined;
    const input = this.#createInput();
    const { exchange } = this.accounts.change(
      CUSTOMER,
      (account) => planExchange(account, input),
    );
    if (exchange === undefined) return undefined;
    this.standby.prepareExchange(budget, exchange);
    budget.exchanging = true;
    return exchange;
  }

  receive(exchange: GrantExchange, result: GrantExchangeResult): void {
    const { budget } = this;
    budget.exchanging = false;
    budget.budgetLeft = result.budgetLeft;
    this.standby.receiveExchange(budget, { exchange, result });
    const deadline = this.clock.readMonotonic() + GRANT_TERM;
    this.accounts.change(
      CUSTOMER,
      (account) => receiveExchange(account, { result, deadline }),
    );
  }

  #createInput(): ExchangeInput {
    const { budget } = this;
    const now = this.clock.readMonotonic();
    return {
      now,
      wallTime: 0,
      lean: BudgetPreference.TighterBudget,
      need: 0,
      grantId: `v/${this.incarnation}/${++this.#grantSequence}`,
      holder: { vm: "v", incarnation: this.incarnation },
      initialLimit: LIMIT,
      usedStandby: budget.unlockedGrants.map((each) => each.grantId),
      heldStandby: budget.standby.map((each) => each.grantId),
      plan: (account) =>
        planHolding(account, {
          now,
          need: 0,
          budgetLeft: budget.budgetLeft ?? LIMIT,
          holders: 6,
          rate: RATE,
          hasTraffic: true,
          othersRate: 0,
          outageCoverage: 12_000,
          activeCoverage: 3_000,
          usualRequest: 100,
          standby: budget.standby,
          isHolder: true,
        }),
    };
  }
}

/** Pads the number, since incarnations are compared as strings. */
function formatIncarnation(number: number): string {
  return String(number).padStart(4, "0");
}

function readRow(rows: MemoryRows): BudgetRow | undefined {
  const value = rows.peek(`budget/${CUSTOMER}`);
  return value === undefined ? undefined : parseBudgetRow(value).unsafeCoerce();
}

/**
 * Returns the ids of grants of an ended incarnation for which the row counts
 * fewer tokens as lost than were spent.
 */
function listUndercounted(
  vm: VmProcess,
  rows: { readonly before: BudgetRow; readonly after: BudgetRow },
): string[] {
  return vm.accounts.read(CUSTOMER).grants
    .filter((grant) => rows.before.grants[grant.id] !== undefined)
    .filter((grant) =>
      (rows.after.writeOffs?.[grant.id]?.size ?? 0) < grant.spent
    )
    .map((grant) => grant.id);
}

/**
 * Simulates random steps over several incarnations; returns the tokens spent,
 * unlocked and left, and the grants that were counted too low.
 */
function simulateRestarts(seed: number) {
  const random = new SeededRandom(seed);
  const rows = new MemoryRows();
  const clock = createManualClock();
  let presence: Presence | undefined;
  let spent: Tokens = 0;
  let unlocked: Tokens = 0;
  const undercounted: string[] = [];
  let vm = new VmProcess(clock, formatIncarnation(1));
  let sent:
    | { exchange: GrantExchange; result?: GrantExchangeResult }
    | undefined;
  const applyAtStore = () => {
    if (sent === undefined || sent.result !== undefined) return;
    sent = { ...sent, result: rows.apply(createGrantExchange(sent.exchange)) };
  };
  const serveRequest = () => {
    vm.standby.unlock(vm.budget);
    unlocked += sumUnlockedTokens(vm.budget.unlockedGrants);
    const tokens = random.drawInteger(10, 900);
    const reservation = vm.accounts.reserve(CUSTOMER, tokens);
    if (reservation === undefined) return;
    const used = random.drawInteger(0, tokens);
    spent += used;
    vm.accounts.change(
      CUSTOMER,
      (account) =>
        settleReservation(account, {
          reservation,
          spent: used,
          now: clock.readMonotonic(),
        }),
    );
  };
  const writePresence = () => {
    const inUse = listInUse(vm.budget);
    vm.lastSent = clock.readMonotonic();
    if (random.drawChance(0.3)) return;
    const { incarnation } = vm;
    const presentAt = clock.readMonotonic();
    presence = { incarnation, address: ADDRESS, presentAt, inUse };
    if (random.drawChance(0.3)) return;
    vm.standby.unlockFully(vm.budget, inUse);
  };
  const restart = () => {
    clock.advance(random.drawInteger(0, 2_000));
    const earlier: EarlierIncarnation | undefined = presence === undefined
      ? undefined
      : findEarlierIncarnation({
        presence,
        address: ADDRESS,
        startedBy: clock.readMonotonic(),
      });
    const ended = vm;
    const before = readRow(rows);
    vm = new VmProcess(
      clock,
      formatIncarnation(Number(vm.incarnation) + 1),
    );
    sent = undefined;
    rows.apply(createEndEarlierIncarnations({
      eventId: CUSTOMER,
      vm: "v",
      incarnation: vm.incarnation,
      earlier,
      initialLimit: LIMIT,
      wallTime: 0,
    }));
    if (before === undefined) return;
    undercounted.push(
      ...listUndercounted(ended, { before, after: readRow(rows)! }),
    );
  };
  for (let step = 0; step < 120; step++) {
    clock.advance(random.drawInteger(10, 900));
    const roll = random.uniform();
    if (roll < 0.45) serveRequest();
    else if (roll < 0.6) {
      const exchange = vm.startExchange();
      if (exchange !== undefined) sent = { exchange };
    } else if (roll < 0.75) applyAtStore();
    else if (roll < 0.85) {
      applyAtStore();
      if (sent?.result !== undefined) vm.receive(sent.exchange, sent.result);
      sent = undefined;
    } else if (roll < 0.96) writePresence();
    else restart();
  }
  restart();
  return {
    spent,
    unlocked,
    undercounted,
    left: computeBudgetLeft(readRow(rows)!),
  };
}

test("restarts and lost answers never let a token be spent twice", (t) => {
  let spent = 0;
  let unlocked = 0;
  for (let seed = 1; seed <= 400; seed++) {
    const end = simulateRestarts(seed);
    t.true(
      end.spent + end.left <= LIMIT,
      `seed ${seed}: ${end.spent} spent, ${end.left} left of ${LIMIT}`,
    );
    t.deepEqual(end.undercounted, [], `seed ${seed}`);
    spent += end.spent;
    unlocked += end.unlocked;
  }
  // Checks that the seeds do exercise spending and unlocking.
  t.true(spent > 400 * 1_000);
  t.true(unlocked > 0);
});
