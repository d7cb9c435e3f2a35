/**
 * Property test of the budget code against a small reference model. Several VMs
 * take random steps with lost answers, late and duplicate decisions, pauses,
 * crashes, write-offs of paused holders, and loans whose messages are lost,
 * duplicated or late.
 *
 * The reference records the limit, the tokens actually spent, and the ids that
 * changed the limit. Each safeguard of the code is also disabled in turn, and
 * the same property must then fail.
 */
import test from "ava";
import fc from "fast-check";
import { BudgetPreference, type RowOperation } from "../core/mod.ts";
import { MemoryRows } from "../stand_ins/mod.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  computeGranted,
  computeGrantRoom,
  computeLent,
  createBudgetRow,
  createEventAccount,
  createGrantExchange,
  createLowerLimit,
  createTopUp,
  createWriteOff,
  type EventAccount,
  GRANT_TERM,
  type GrantExchange,
  lendTokens,
  type LoanAnswer,
  type LoanReport,
  type LoanRequest,
  LossEvidenceKind,
  parseBudgetRow,
  planExchange,
  planLastExchange,
  receiveExchange,
  receiveGrant,
  receiveLoan,
  recordLoanRequest,
  releaseLoans,
  type Reservation,
  reserveTokens,
  settleLoans,
  settleReservation,
} from "./mod.ts";

const INITIAL_LIMIT = 500;
const SIZING = {
  minCoverage: 10_000,
  refillCoverage: 60_000,
  maxShare: 0.4,
  returnAfter: 30_000,
  idleRequests: 0,
};
const VMS = ["a", "b", "c"];
const SEED = 20_261;

/** The functions under test; each broken variant replaces one of them. */
const REAL_FUNCTIONS = {
  createGrantExchange,
  createLowerLimit,
  createTopUp,
  createWriteOff,
  lendTokens,
  planExchange,
  planLastExchange,
  receiveLoan,
  reserveTokens,
  settleLoans,
  settleReservation,
};

type BudgetFunctions = typeof REAL_FUNCTIONS;

enum StepKind {
  Request = "request",
  Settle = "settle",
  SettleUnknown = "settle-unknown",
  Plan = "plan",
  Stop = "stop",
  Exchange = "exchange",
  LoseAnswer = "lose-answer",
  DecideAgain = "decide-again",
  AskLoan = "ask-loan",
  Borrow = "borrow",
  GiveBack = "give-back",
  Deliver = "deliver",
  DeliverTwice = "deliver-twice",
  LoseMessage = "lose",
  Crash = "crash",
  WriteOffLost = "write-off-lost",
  WriteOffPaused = "write-off-paused",
  TopUp = "top-up",
  Lower = "lower",
  Wait = "wait",
}

interface Step {
  readonly kind: StepKind;
  readonly vm: number;
  readonly tokens: number;
  readonly choice: number;
}

interface Vm {
  readonly name: string;
  incarnation: number;
  account: EventAccount;
  running: Reservation[];
}

type Message =
  & { readonly to: string }
  & (
    | { readonly request: LoanRequest }
    | { readonly answer: LoanAnswer }
    | { readonly report: LoanReport }
  );

/** Simulates the VMs, the store and the network, and keeps the reference. */
class BudgetSimulation {
  readonly #functions: BudgetFunctions;
  readonly #rows = new MemoryRows();
  readonly #vms: Vm[] = VMS.map((name) => ({
    name,
    incarnation: 1,
    account: createEventAccount("e"),
    running: [],
  }));
  /** Exchanges that were unconfirmed when their VM crashed. */
  readonly #orphanedExchanges: GrantExchange[] = [];
  readonly #lowered = new Map<string, number>();
  readonly #toppedUp = new Set<string>();
  #messages: Message[] = [];
  #now = 0;
  #number = 0;
  #limit = INITIAL_LIMIT;
  #spent = 0;
  #isLossy = false;

  constructor(functions: BudgetFunctions) {
    this.#functions = functions;
    for (const vm of this.#vms) {
      vm.account = planExchange(vm.account, this.#createInput(vm, 40));
      this.#exchange(vm, true);
    }
  }

  run(step: Step): void {
    const vm = this.#vms[step.vm % VMS.length]!;
    this.#runStep(vm, step);
    this.#check();
  }

  /** Stops all VMs and compares the remaining tokens with the reference. */
  finish(): void {
    if (this.#messages.length > 0) this.#isLossy = true;
    for (const vm of this.#vms) {
      while (vm.running.length > 0) this.#settle(vm, 0, vm.running[0]!.tokens);
      this.#exchange(vm, true);
      vm.account = this.#functions.planLastExchange(
        vm.account,
        this.#createInput(vm, 0),
      );
      this.#exchange(vm, true);
      expectEqual(vm.account.grants.length, 0, "grants after a stop");
    }
    this.#check();
    const row = this.#readRow();
    const lost = row.limit - this.#spent - computeBudgetLeft(row);
    const lent = Object.values(row.loans ?? {})
      .filter((loan) => loan.writtenOff !== true)
      .reduce((sum, loan) => sum + loan.tokens, 0);
    const explained = computeGranted(row) + (row.writtenOff ?? 0) + lent;
    expectAtMost(lost, explained, "tokens lost and not accounted for");
    if (!this.#isLossy) expectEqual(lost, 0, "tokens lost without a fault");
  }

  #runStep(vm: Vm, step: Step): void {
    const { tokens, choice } = step;
    switch (step.kind) {
      case StepKind.Request:
        return this.#request(vm, tokens);
      case StepKind.Settle:
        return this.#settle(vm, choice, Math.floor(tokens / 2));
      case StepKind.SettleUnknown:
        return this.#settle(vm, choice, undefined);
      case StepKind.Plan:
        vm.account = this.#functions.planExchange(
          vm.account,
          this.#createInput(vm, choice % 2 === 0 ? tokens : 0),
        );
        return;
      case StepKind.Stop:
        vm.account = this.#functions.planLastExchange(
          vm.account,
          this.#createInput(vm, 0),
        );
        return;
      case StepKind.Exchange:
        return this.#exchange(vm, true);
      case StepKind.LoseAnswer:
        return this.#exchange(vm, false);
      case StepKind.DecideAgain:
        return this.#decideAgain(choice);
      case StepKind.AskLoan:
        return this.#askLoan(vm, step);
      case StepKind.Borrow:
        this.#askLoan(vm, step);
        this.#deliver(this.#messages.length - 1, false);
        return this.#deliver(this.#messages.length - 1, true);
      case StepKind.GiveBack:
        return this.#giveBack(vm);
      case StepKind.Deliver:
        return this.#deliver(choice, false);
      case StepKind.DeliverTwice:
        return this.#deliver(choice, true);
      case StepKind.LoseMessage:
        if (this.#messages.length > 0) this.#isLossy = true;
        this.#takeMessage(choice);
        return;
      case StepKind.Crash:
        return this.#crash(vm);
      case StepKind.WriteOffLost:
        return this.#writeOff(vm, LossEvidenceKind.LaterIncarnation);
      case StepKind.WriteOffPaused:
        return this.#writeOff(vm, LossEvidenceKind.Unlisted);
      case StepKind.TopUp:
        return this.#topUp(choice, tokens);
      case StepKind.Lower:
        return this.#lower(choice, tokens);
      case StepKind.Wait:
        this.#now += choice === 0 ? GRANT_TERM : choice * 20_000;
    }
  }

  #request(vm: Vm, tokens: number): void {
    const input = { tokens, now: this.#now };
    this.#functions.reserveTokens(vm.account, input).ifRight((result) => {
      const late = result.reservation.parts.some((part) => {
        const grant = vm.account.grants.find((each) =>
          each.id === part.grantId
        );
        return grant === undefined || this.#now >= grant.deadline;
      });
      expectEqual(late, false, "reserved from a grant past its deadline");
      vm.account = result.account;
      vm.running.push(result.reservation);
    });
  }

  /**
   * Settles a reservation. Where the spending is unknown, the reference assumes
   * that the request spent the whole reservation.
   */
  #settle(vm: Vm, choice: number, used: number | undefined): void {
    const reservation = vm.running[choice % Math.max(1, vm.running.length)];
    if (reservation === undefined) return;
    vm.running = vm.running.filter((each) => each !== reservation);
    const now = this.#now;
    const spent = Math.min(used ?? reservation.tokens, reservation.tokens);
    this.#spent += spent;
    vm.account = this.#functions.settleReservation(
      vm.account,
      used === undefined ? { reservation, now } : { reservation, spent, now },
    );
  }

  #createInput(vm: Vm, need: number) {
    return {
      now: this.#now,
      need,
      lean: BudgetPreference.TighterBudget,
      sizing: SIZING,
      budgetLeft: computeBudgetLeft(this.#readRow()),
      grantId: `${vm.name}/${vm.incarnation}/${++this.#number}`,
      holder: { vm: vm.name, incarnation: String(vm.incarnation) },
      initialLimit: INITIAL_LIMIT,
      wallTime: this.#now,
    };
  }

  #exchange(vm: Vm, isAnswered: boolean): void {
    const { exchange } = vm.account;
    if (exchange === undefined) return;
    const result = this.#apply(this.#functions.createGrantExchange(exchange));
    if (!isAnswered) return;
    const deadline = this.#now + GRANT_TERM;
    vm.account = receiveExchange(vm.account, { result, deadline });
  }

  /**
   * Decides an unconfirmed exchange once more, even when its VM has crashed. A
   * confirmed one is not decided again: its transaction is conditional on the
   * versions of the rows, which the write has changed.
   */
  #decideAgain(choice: number): void {
    const open = this.#vms.map((vm) => vm.account.exchange)
      .filter((exchange) => exchange !== undefined);
    const candidates = [...this.#orphanedExchanges, ...open];
    const exchange = candidates[choice % Math.max(1, candidates.length)];
    if (exchange === undefined) return;
    this.#apply(this.#functions.createGrantExchange(exchange));
  }

  #askLoan(vm: Vm, step: Step): void {
    const lender = VMS[step.choice % VMS.length]!;
    if (lender === vm.name) return;
    const transferId = `${vm.name}/${vm.incarnation}/loan/${++this.#number}`;
    const borrower = { vm: vm.name, incarnation: String(vm.incarnation) };
    const wanted = step.tokens;
    vm.account = recordLoanRequest(vm.account, {
      transferId,
      lender,
      wanted,
      askedAt: this.#now,
    });
    const request = { transferId, wanted, least: wanted, borrower };
    this.#messages.push({ to: lender, request });
  }

  /** Gives idle loans back, and repeats the reports of those settled before. */
  #giveBack(vm: Vm): void {
    vm.account = releaseLoans(vm.account, { keep: 0, isReachable: () => true });
    for (const report of vm.account.settledLoans) {
      // One that arrives after its lender's close changes nothing.
      this.#isLossy = true;
      this.#messages.push({ to: report.lenderGrantId.split("/")[0]!, report });
    }
  }

  #deliver(choice: number, isDuplicated: boolean): void {
    const message = this.#takeMessage(choice);
    if (message === undefined) return;
    if (isDuplicated) this.#messages.unshift(message);
    const vm = this.#vms.find((each) => each.name === message.to)!;
    if ("answer" in message) {
      const { answer } = message;
      const deadline = this.#now + GRANT_TERM;
      vm.account = this.#functions.receiveLoan(vm.account, {
        answer,
        deadline,
      });
      return;
    }
    if ("report" in message) {
      vm.account = this.#functions.settleLoans(vm.account, [message.report]);
      return;
    }
    const { request } = message;
    const { account, answer } = this.#functions.lendTokens(vm.account, {
      request,
      now: this.#now,
      keep: 0,
    });
    vm.account = account;
    this.#messages.push({ to: request.borrower.vm, answer });
  }

  #takeMessage(choice: number): Message | undefined {
    const index = choice % Math.max(1, this.#messages.length);
    return this.#messages.splice(index, 1)[0];
  }

  /**
   * Discards the VM's memory. The reference assumes that its requests in
   * progress spent their whole reservations.
   */
  #crash(vm: Vm): void {
    this.#isLossy = true;
    this.#spent += vm.running.reduce((sum, each) => sum + each.tokens, 0);
    vm.running = [];
    if (vm.account.exchange !== undefined) {
      this.#orphanedExchanges.push(vm.account.exchange);
    }
    vm.account = createEventAccount("e");
    vm.incarnation++;
  }

  #writeOff(vm: Vm, kind: LossEvidenceKind): void {
    const holder = { vm: vm.name, incarnation: String(vm.incarnation) };
    const evidence = kind === LossEvidenceKind.LaterIncarnation
      ? { kind, ...holder }
      : { kind, ...holder, unlistedFor: 2, required: 1 };
    const input = { eventId: "e", initialLimit: INITIAL_LIMIT, wallTime: 0 };
    this.#functions.createWriteOff({ ...input, evidence })
      .ifRight((operation) => this.#apply(operation));
  }

  #topUp(choice: number, tokens: number): void {
    const topUpId = String(choice % 3);
    const result = this.#apply(this.#functions.createTopUp({
      eventId: "e",
      topUpId,
      tokens,
      initialLimit: INITIAL_LIMIT,
      wallTime: 0,
    }));
    expectEqual(result.appliedNow, !this.#toppedUp.has(topUpId), "applied now");
    if (!this.#toppedUp.has(topUpId)) this.#limit += tokens;
    this.#toppedUp.add(topUpId);
  }

  #lower(choice: number, tokens: number): void {
    const lowerId = String(choice % 3);
    const { lowered } = this.#apply(this.#functions.createLowerLimit({
      eventId: "e",
      lowerId,
      tokens,
      initialLimit: INITIAL_LIMIT,
      wallTime: 0,
    }));
    this.#limit -= lowered - (this.#lowered.get(lowerId) ?? 0);
    this.#lowered.set(lowerId, lowered);
  }

  #apply<Result>(operation: RowOperation<Result>): Result {
    return this.#rows.apply(operation);
  }

  #readRow(): BudgetRow {
    const value = this.#rows.peek("budget/e");
    if (value === undefined) return createBudgetRow(INITIAL_LIMIT);
    return parseBudgetRow(value).caseOf({
      Left: (reason) => {
        throw new Error(reason);
      },
      Right: (row) => row,
    });
  }

  /**
   * Checks that the tokens spent, those that can still be spent and those left
   * in the budget together do not exceed the limit.
   */
  #check(): void {
    const row = this.#readRow();
    expectEqual(row.limit, this.#limit, "limit");
    expectAtMost(row.closed + computeGranted(row), row.limit, "granted");
    let spendable = computeBudgetLeft(row);
    for (const { account, running } of this.#vms) {
      const held = running.reduce((sum, each) => sum + each.tokens, 0);
      const reserved = account.grants
        .reduce((sum, grant) => sum + grant.reserved, 0);
      expectEqual(reserved, held, "reserved");
      spendable += reserved;
      for (const grant of account.grants) {
        const used = grant.spent + grant.reserved + computeLent(grant);
        expectAtMost(used, grant.size, "used of a grant");
        expectAtMost(0, Math.min(grant.spent, grant.reserved), "negative");
        if (!grant.closing) spendable += computeGrantRoom(grant);
      }
    }
    expectAtMost(this.#spent + spendable, row.limit, "spent and spendable");
  }
}

function expectAtMost(value: number, max: number, what: string): void {
  if (value > max) throw new Error(`${what}: ${value} is above ${max}`);
}

function expectEqual<Value>(value: Value, expected: Value, what: string): void {
  if (value !== expected) throw new Error(`${what}: ${value}, not ${expected}`);
}

/** The most common steps are listed repeatedly, so that runs make progress. */
const STEP_KINDS = [
  ...Object.values(StepKind),
  ...[StepKind.Request, StepKind.Plan, StepKind.Exchange, StepKind.Deliver],
  ...[StepKind.Request, StepKind.Plan, StepKind.Exchange, StepKind.Settle],
  ...[StepKind.Borrow, StepKind.Request, StepKind.Settle, StepKind.GiveBack],
  ...[StepKind.Borrow, StepKind.GiveBack, StepKind.DeliverTwice],
];

/** Steps that lose no memory and no messages, so no tokens may be lost. */
const LOSSLESS_STEP_KINDS = STEP_KINDS.filter((kind) =>
  kind !== StepKind.Crash && kind !== StepKind.LoseMessage &&
  kind !== StepKind.GiveBack
);

function checkRuns(
  functions: BudgetFunctions,
  options: { readonly kinds: readonly StepKind[]; readonly runs: number },
): fc.RunDetails<[Step[]]> {
  const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(...options.kinds),
    vm: fc.nat(VMS.length - 1),
    tokens: fc.integer({ min: 1, max: 60 }),
    choice: fc.nat(7),
  });
  const steps = fc.array(step, {
    minLength: 20,
    maxLength: 80,
    size: "max",
  });
  const property = fc.property(steps, (list) => {
    const simulation = new BudgetSimulation(functions);
    for (const each of list) simulation.run(each);
    simulation.finish();
  });
  return fc.check(property, {
    seed: SEED,
    numRuns: options.runs,
    // A broken variant only has to fail; its counterexample need not be shrunk.
    endOnFailure: functions !== REAL_FUNCTIONS,
  });
}

test("no sequence of faults overspends a budget or loses tokens that the row does not account for", (t) => {
  const run = checkRuns(REAL_FUNCTIONS, { kinds: STEP_KINDS, runs: 2_000 });
  t.false(run.failed, fc.defaultReportMessage(run));
});

test("no tokens are lost unless memory or messages are lost", (t) => {
  const run = checkRuns(REAL_FUNCTIONS, {
    kinds: LOSSLESS_STEP_KINDS,
    runs: 1_000,
  });
  t.false(run.failed, fc.defaultReportMessage(run));
});

/**
 * Returns an operation whose write of the budget row is altered by `change`.
 */
function changeRow<Result>(
  operation: RowOperation<Result>,
  change: (row: BudgetRow) => BudgetRow,
): RowOperation<Result> {
  return {
    ...operation,
    decide(rows) {
      const decision = operation.decide(rows);
      const writes = decision.writes.map((write) => {
        if (write.key !== "budget/e") return write;
        const row = parseBudgetRow(write.value ?? null).unsafeCoerce();
        return { key: write.key, value: { ...change(row) } };
      });
      return { ...decision, writes };
    },
  };
}

const BROKEN_VARIANTS: Readonly<Record<string, Partial<BudgetFunctions>>> = {
  "a reservation is not recorded": {
    reserveTokens: (account, input) =>
      reserveTokens(account, input).map((result) => ({ ...result, account })),
  },
  "a paused VM reserves past its deadline": {
    reserveTokens: (account, input) =>
      reserveTokens(account, { ...input, now: 0 }),
  },
  "unknown spending counts as zero": {
    settleReservation: (account, input) =>
      settleReservation(account, { spent: 0, ...input }),
  },
  "a loan is not debited": {
    lendTokens: (account, input) => ({
      ...lendTokens(account, input),
      account,
    }),
  },
  "a loan is credited again": {
    receiveLoan: (account, { answer, deadline }) =>
      answer.parts.reduce(
        (credited, part) =>
          receiveGrant(credited, {
            grantId: part.transferId,
            size: part.tokens,
            deadline,
            lenderGrantId: part.lenderGrantId,
          }),
        account,
      ),
  },
  "a repeated request is lent again": {
    lendTokens: (account, input) =>
      lendTokens({ ...account, loanAnswers: [] }, input),
  },
  "a part is re-lent and also kept": {
    lendTokens: (account, input) => {
      const result = lendTokens(account, input);
      const grants = result.account.grants.map((grant) =>
        grant.lenderGrantId === undefined
          ? grant
          : account.grants.find((each) => each.id === grant.id) ?? grant
      );
      return { ...result, account: { ...result.account, grants } };
    },
  },
  "a report of a loan is counted again": {
    settleLoans: (account, reports) =>
      settleLoans({
        ...account,
        grants: account.grants.map((grant) => ({
          ...grant,
          loans: grant.loans.map((loan) => ({ ...loan, settledParts: [] })),
        })),
      }, reports),
  },
  "a borrower gives back what it has spent": {
    settleLoans: (account, reports) =>
      settleLoans(
        account,
        reports.map((each) => ({ ...each, unspent: each.size ?? 0 })),
      ),
  },
  "a lender closes a grant as if its loans were returned": {
    createGrantExchange: (exchange) =>
      createGrantExchange({
        ...exchange,
        closes: (exchange.closes ?? []).map((each) => ({ ...each, loans: [] })),
      }),
  },
  "a loan returns more than its unspent tokens": {
    createGrantExchange: (exchange) =>
      createGrantExchange({
        ...exchange,
        returns: (exchange.returns ?? []).map((loan) => ({
          ...loan,
          unspent: loan.unspent + 1,
        })),
      }),
  },
  "a grant is closed as unspent": {
    createGrantExchange: (exchange) =>
      createGrantExchange({
        ...exchange,
        closes: (exchange.closes ?? []).map((each) => ({ ...each, spent: 0 })),
      }),
  },
  "tokens being returned can be reserved": {
    planExchange: (account, input) => {
      const { exchange } = planExchange(account, input);
      return exchange === undefined ? account : { ...account, exchange };
    },
  },
  "a write-off releases its tokens": {
    createWriteOff: (input) =>
      createWriteOff(input).map((operation) =>
        changeRow(operation, (row) => ({
          ...row,
          closed: row.closed - (row.writtenOff ?? 0),
        }))
      ),
  },
  "a top-up is applied again": {
    createTopUp: (input) =>
      createTopUp({ ...input, topUpId: `${input.topUpId}/${Math.random()}` }),
  },
  "a limit is lowered below the granted tokens": {
    createLowerLimit: (input) =>
      changeRow(createLowerLimit(input), (row) => ({
        ...row,
        limit: row.limit - 1,
      })),
  },
};

for (const [name, broken] of Object.entries(BROKEN_VARIANTS)) {
  test(`the property fails when ${name}`, (t) => {
    const functions = { ...REAL_FUNCTIONS, ...broken };
    const run = checkRuns(functions, { kinds: STEP_KINDS, runs: 2_000 });
    t.true(run.failed);
  });
}
