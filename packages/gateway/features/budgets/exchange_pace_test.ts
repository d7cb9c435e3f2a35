/** Tests that the writes of one budget's row stay within its write rate. */
import test from "ava";
import {
  Accounts,
  settleReservation,
  SpendingMeter,
} from "../../../budget/mod.ts";
import {
  createManualClock,
  Kernel,
  type ManualClock,
  MILLIS_PER_SECOND,
} from "../../../core/mod.ts";
import { StoreWriter } from "../../../ports/mod.ts";
import { createSilentLog } from "../../../runtime/mod.ts";
import { GATEWAY_SCHEMA } from "../../../settings/mod.ts";
import { MemoryTable } from "../../../stand_ins/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { createGatewayMetrics } from "../../gateway_metrics.ts";
import { type BudgetState, createBudgetState } from "./budget_state.ts";
import {
  choosePermit,
  computeRefillInterval,
  ExchangePermit,
} from "./exchange_pace.ts";
import { GrantExchanges } from "./grant_exchanges.ts";
import { StandbyTokens } from "./standby_tokens.ts";

const CUSTOMER = "tours";
const LIMIT = 1_000_000_000;
const CHECK_INTERVAL = 400;
/** Spending rate of each VM in tokens per second. */
const RATE = 250;
const RUN_TIME = 20 * MILLIS_PER_SECOND;

/** One VM that spends all tokens that it holds between two checks. */
class SpendingVm {
  readonly budget: BudgetState;
  readonly exchanges: GrantExchanges;
  readonly #accounts: Accounts;
  readonly #clock: ManualClock;

  constructor(
    vm: string,
    shared: {
      readonly clock: ManualClock;
      readonly table: MemoryTable;
      readonly areHomesKnown?: boolean;
    },
  ) {
    const { clock, table } = shared;
    this.#clock = clock;
    const kernel = new Kernel();
    this.#accounts = new Accounts({ kernel, clock });
    this.#accounts.register();
    const context = {
      vm,
      incarnation: "1",
      clock,
      kernel,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      settings: GATEWAY_SCHEMA.parse({
        vm,
        dataCentre: "here-a",
        regions: {},
        callers: "127.0.0.1:0",
        readiness: "127.0.0.1:0",
        // Large enough that only the pace of the row limits the exchanges.
        store: { address: "127.0.0.1:0", writesPerSecond: 1_000_000 },
      }),
    } as unknown as GatewayContext;
    this.exchanges = new GrantExchanges(context, {
      accounts: this.#accounts,
      standby: new StandbyTokens(context, {
        accounts: this.#accounts,
        computePresenceAge: () => 0,
        isStoreDown: () => false,
      }),
      computePresenceInterval: () => 600,
      countVms: () => 1,
      isHolder: () => true,
      areHomesKnown: () => shared.areHomesKnown ?? true,
      readUsualRequest: () => 100,
      readFirstRequestTime: () => 0,
      onAnswer: () => {},
    });
    this.budget = createBudgetState({
      customer: CUSTOMER,
      prepaid: LIMIT,
      writer: new StoreWriter({
        table,
        clock,
        random: () => 0.5,
        sleep: () => Promise.resolve(),
        groupDelay: 0,
      }),
    });
    this.budget.isInitialized = true;
  }

  spend(): void {
    const now = this.#clock.readMonotonic();
    this.budget.meter ??= new SpendingMeter(now);
    this.budget.meter.record(RATE * CHECK_INTERVAL / MILLIS_PER_SECOND, now);
    const room = this.#accounts.computeRoom(CUSTOMER);
    const reservation = room > 0
      ? this.#accounts.reserve(CUSTOMER, room)
      : undefined;
    if (reservation === undefined) return;
    this.#accounts.change(
      CUSTOMER,
      (account) =>
        settleReservation(account, { reservation, spent: room, now }),
    );
  }
}

async function countWritesPerSecond(vms: number): Promise<number> {
  const clock = createManualClock();
  const table = new MemoryTable({ now: () => clock.readMonotonic() });
  const fleet = Array.from(
    { length: vms },
    (_, number) => new SpendingVm(`v${number}`, { clock, table }),
  );
  let before = 0;
  for (let now = 0; now < 2 * RUN_TIME; now += CHECK_INTERVAL) {
    // The number of holders is known once each VM has written its first grant.
    if (now === RUN_TIME) before = table.readCounts().transactions;
    for (const vm of fleet) {
      vm.spend();
      vm.exchanges.rebalance([vm.budget]);
      while (vm.budget.exchanging) {
        await new Promise((done) => setImmediate(done));
      }
    }
    clock.advance(CHECK_INTERVAL);
  }
  const writes = table.readCounts().transactions - before;
  return writes / (RUN_TIME / MILLIS_PER_SECOND);
}

test("the writes of a row that no request waits for don't grow with its holders", async (t) => {
  const few = await countWritesPerSecond(8);
  const many = await countWritesPerSecond(40);
  t.true(few <= 20, String(few));
  t.true(many <= 20, String(many));
  t.true(many >= 15, String(many));
  // A small fleet is refilled at each check.
  t.is(await countWritesPerSecond(6), 6 * MILLIS_PER_SECOND / CHECK_INTERVAL);
});

test("exchanges that a request or a peer waits for are not paced", (t) => {
  const input = { now: 10_000, startedAt: 9_990, holders: 59 };
  t.is(choosePermit({ ...input, isUrgent: true }), ExchangePermit.Any);
  t.is(choosePermit({ ...input, isUrgent: false }), ExchangePermit.None);
});

test("with many holders an excess is returned less often than tokens are taken", (t) => {
  const startedAt = 10_000;
  const find = (wanted: ExchangePermit) => {
    let now = startedAt;
    const input = { startedAt, holders: 20, isUrgent: false };
    while (choosePermit({ ...input, now }) !== wanted) now += 100;
    return now - startedAt;
  };
  const refill = find(ExchangePermit.Refill);
  t.true(Math.abs(refill - computeRefillInterval(20)) <= CHECK_INTERVAL / 2);
  t.true(find(ExchangePermit.Any) >= refill + CHECK_INTERVAL);
});

test("before home VMs are known a VM takes tokens only for a request that waits", async (t) => {
  const clock = createManualClock();
  const table = new MemoryTable({ now: () => clock.readMonotonic() });
  const shared = { clock, table, areHomesKnown: false };
  const { budget, exchanges } = new SpendingVm("v1", shared);
  budget.isInitialized = false;
  await exchanges.endEarlierIncarnations(budget, undefined);
  clock.advance(CHECK_INTERVAL);
  exchanges.rebalance([budget]);
  t.false(budget.exchanging);
  t.is(table.readCounts().transactions, 0);
  budget.waiters.push({
    requestId: "r",
    tokens: 100,
    deadline: 10_000,
    resolve: () => {},
  });
  exchanges.rebalance([budget]);
  t.true(budget.exchanging);
});

test("a VM that has only ended its earlier incarnations doesn't take the store for unavailable", async (t) => {
  const clock = createManualClock();
  const table = new MemoryTable({ now: () => clock.readMonotonic() });
  const shared = { clock, table, areHomesKnown: false };
  const { budget, exchanges } = new SpendingVm("v1", shared);
  clock.advance(2_000);
  t.true(exchanges.isStoreDown);
  await exchanges.endEarlierIncarnations(budget, undefined);
  t.false(exchanges.isStoreDown);
});
