/**
 * Tests of standby tokens over many lives of one VM: whatever opens, is told or
 * lost on the way, no life uses more than the row counts.
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
import { createHolding, type Holding, sumOpen } from "./holding.ts";
import { listInUse, StandbyTokens } from "./standby_tokens.ts";

const CUSTOMER = "tours";
const LIMIT = 10_000;
const ADDRESS = "10.0.0.1:80";

/** Tokens a second that a life draws, by its own meter. */
const RATE = 300;

/** One life of the VM, with what a gateway keeps of one customer. */
class Life {
  readonly clock: ManualClock;
  readonly accounts: Accounts;
  readonly standby: StandbyTokens;
  readonly holding: Holding;
  readonly incarnation: string;
  lastSent: number;
  #number = 0;

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
      computeSilence: () => clock.readMonotonic() - this.lastSent,
      isTableAway: () => true,
    });
    this.holding = createHolding({
      customer: CUSTOMER,
      prepaid: LIMIT,
      writer: undefined as unknown as StoreWriter,
    });
  }

  /** Plans an exchange as a gateway does; undefined when there is none. */
  startExchange(): GrantExchange | undefined {
    const { holding } = this;
    if (holding.exchanging) return undefined;
    const input = this.#createInput();
    const { exchange } = this.accounts.change(
      CUSTOMER,
      (account) => planExchange(account, input),
    );
    if (exchange === undefined) return undefined;
    this.standby.settleExchange(holding, exchange);
    holding.exchanging = true;
    return exchange;
  }

  receive(exchange: GrantExchange, result: GrantExchangeResult): void {
    const { holding } = this;
    holding.exchanging = false;
    holding.budgetLeft = result.budgetLeft;
    this.standby.receiveExchange(holding, { exchange, result });
    const deadline = this.clock.readMonotonic() + GRANT_TERM;
    this.accounts.change(
      CUSTOMER,
      (account) => receiveExchange(account, { result, deadline }),
    );
  }

  #createInput(): ExchangeInput {
    const { holding } = this;
    const now = this.clock.readMonotonic();
    return {
      now,
      wallTime: 0,
      lean: BudgetPreference.TighterBudget,
      need: 0,
      grantId: `v/${this.incarnation}/${++this.#number}`,
      holder: { vm: "v", incarnation: this.incarnation },
      initialLimit: LIMIT,
      usedStandby: holding.opening.map((each) => each.grantId),
      heldStandby: holding.standby.map((each) => each.grantId),
      plan: (account) =>
        planHolding(account, {
          now,
          need: 0,
          budgetLeft: holding.budgetLeft ?? LIMIT,
          holders: 6,
          rate: RATE,
          isTrafficOn: true,
          othersRate: 0,
          offline: 12_000,
          active: 3_000,
          usualRequest: 100,
          standby: holding.standby,
          isHome: true,
        }),
    };
  }
}

/** Incarnations are compared as texts. */
function formatIncarnation(number: number): string {
  return String(number).padStart(4, "0");
}

function readRow(rows: MemoryRows): BudgetRow | undefined {
  const value = rows.peek(`budget/${CUSTOMER}`);
  return value === undefined ? undefined : parseBudgetRow(value).unsafeCoerce();
}

/** Returns the grants of a life that is over of which too much is free again. */
function listUncounted(
  life: Life,
  rows: { readonly before: BudgetRow; readonly after: BudgetRow },
): string[] {
  return life.accounts.read(CUSTOMER).grants
    .filter((grant) => rows.before.grants[grant.id] !== undefined)
    .filter((grant) =>
      (rows.after.writeOffs?.[grant.id]?.size ?? 0) < grant.spent
    )
    .map((grant) => grant.id);
}

/** Plays lives until the end of a seed; returns what was spent and is left. */
function playLives(seed: number) {
  const random = new SeededRandom(seed);
  const rows = new MemoryRows();
  const clock = createManualClock();
  let presence: Presence | undefined;
  let spent: Tokens = 0;
  let opened: Tokens = 0;
  const uncounted: string[] = [];
  let life = new Life(clock, formatIncarnation(1));
  let sent:
    | { exchange: GrantExchange; result?: GrantExchangeResult }
    | undefined;
  const land = () => {
    if (sent === undefined || sent.result !== undefined) return;
    sent = { ...sent, result: rows.apply(createGrantExchange(sent.exchange)) };
  };
  const draw = () => {
    life.standby.open(life.holding);
    opened += sumOpen(life.holding.opening);
    const tokens = random.drawInteger(10, 900);
    const reservation = life.accounts.reserve(CUSTOMER, tokens);
    if (reservation === undefined) return;
    const used = random.drawInteger(0, tokens);
    spent += used;
    life.accounts.change(
      CUSTOMER,
      (account) =>
        settleReservation(account, {
          reservation,
          spent: used,
          now: clock.readMonotonic(),
        }),
    );
  };
  const tell = () => {
    const inUse = listInUse(life.holding);
    life.lastSent = clock.readMonotonic();
    if (random.drawChance(0.3)) return;
    const { incarnation } = life;
    const presentAt = clock.readMonotonic();
    presence = { incarnation, address: ADDRESS, presentAt, inUse };
    if (random.drawChance(0.3)) return;
    life.standby.openWhole(life.holding, inUse);
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
    const over = life;
    const before = readRow(rows);
    life = new Life(clock, formatIncarnation(Number(life.incarnation) + 1));
    sent = undefined;
    rows.apply(createEndEarlierIncarnations({
      eventId: CUSTOMER,
      vm: "v",
      incarnation: life.incarnation,
      earlier,
      initialLimit: LIMIT,
      wallTime: 0,
    }));
    if (before === undefined) return;
    uncounted.push(...listUncounted(over, { before, after: readRow(rows)! }));
  };
  for (let step = 0; step < 120; step++) {
    clock.advance(random.drawInteger(10, 900));
    const draws = random.uniform();
    if (draws < 0.45) draw();
    else if (draws < 0.6) {
      const exchange = life.startExchange();
      if (exchange !== undefined) sent = { exchange };
    } else if (draws < 0.75) land();
    else if (draws < 0.85) {
      land();
      if (sent?.result !== undefined) life.receive(sent.exchange, sent.result);
      sent = undefined;
    } else if (draws < 0.96) tell();
    else restart();
  }
  restart();
  return { spent, opened, uncounted, left: computeBudgetLeft(readRow(rows)!) };
}

test("over lives, lost answers and kills no token is spent twice", (t) => {
  let spent = 0;
  let opened = 0;
  for (let seed = 1; seed <= 400; seed++) {
    const end = playLives(seed);
    t.true(
      end.spent + end.left <= LIMIT,
      `seed ${seed}: ${end.spent} spent, ${end.left} left of ${LIMIT}`,
    );
    t.deepEqual(end.uncounted, [], `seed ${seed}`);
    spent += end.spent;
    opened += end.opened;
  }
  // The seeds do reach what is tested.
  t.true(spent > 400 * 1_000);
  t.true(opened > 0);
});
