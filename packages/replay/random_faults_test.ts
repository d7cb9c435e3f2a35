/**
 * Drives the decision code of budget and request with random inputs, faults
 * and restarts, and checks the specification's invariants after each step.
 */
import test from "ava";
import fc from "fast-check";
import type { Grant } from "../budget/mod.ts";
import { computeAccountRoom, recordLoanRequest } from "../budget/mod.ts";
import { REPLAY_INPUTS } from "./mod.ts";
import { ReplayFleet } from "./replay_fleet.ts";
import type { InputContext, InputTable, ReplayInput } from "./replay_input.ts";

const SEED = 4;

const RUNS = 400;

const STEPS = 120;

const VMS = ["a", "b", "c"];

const LIMIT = 100;

const EVENT = "wave";

const TOP_UP = 50;

/** Largest time between two steps; grants last several of them. */
const LONGEST_PAUSE = 60_000;

const TERM = 900_000;

/** Digits of the number in an id, so that no id begins with another. */
const ID_DIGITS = 4;

/** One random step: what is done, by whom, and what befalls its write. */
interface RandomStep {
  readonly action: string;
  readonly vm: string;
  readonly other: string;
  readonly number: number;
  readonly tokens: number;
  readonly pause: number;
  readonly fault: "ok" | "answer-lost" | "down" | "late";
}

/** How often each action is drawn; what strands tokens is rare. */
const ACTIONS: Readonly<Record<string, number>> = {
  take: 5,
  reserve: 6,
  settle: 6,
  close: 6,
  "ask-loan": 4,
  lend: 4,
  credit: 5,
  claim: 2,
  "top-up": 1,
  land: 1,
  "write-off": 1,
  restart: 1,
};

const WEIGHTED = Object.entries(ACTIONS)
  .flatMap(([action, weight]) => Array<string>(weight).fill(action));

const STEP: fc.Arbitrary<RandomStep> = fc.record({
  action: fc.constantFrom(...WEIGHTED),
  vm: fc.constantFrom(...VMS),
  other: fc.constantFrom(...VMS),
  number: fc.nat({ max: 2 }),
  tokens: fc.integer({ min: 1, max: 60 }),
  pause: fc.nat({ max: LONGEST_PAUSE }),
  fault: fc.constantFrom("ok", "ok", "answer-lost", "down", "late"),
});

/** The decision code, and how VMs tell the table of their grants. */
interface RunOptions {
  readonly inputs: InputTable;
  /** In whole exchanges, as the daemon does, or grant by grant. */
  readonly byExchange: boolean;
}

/** A fleet under random faults, and what its targets and operators did. */
class RandomRun {
  readonly #fleet = new ReplayFleet();
  readonly #options: RunOptions;
  #now = 0;
  #lastWrite = 0;
  #attempts = 0;
  #paid = LIMIT;
  #runs = 0;
  #ids = 0;
  /** By VM: the grant whose take has had no answer. */
  readonly #unanswered = new Map<string, string>();
  readonly #transfers: {
    readonly transfer: string;
    readonly borrower: string;
    readonly lender: string;
    readonly wanted: number;
  }[] = [];

  constructor(options: RunOptions) {
    this.#options = options;
  }

  /** Carries a step out; returns the broken invariant, if any. */
  apply(step: RandomStep): string | undefined {
    this.#now += step.pause;
    const found = this.#act(step);
    if (found !== undefined && "error" in found) return String(found.error);
    return this.#findViolation();
  }

  #act(step: RandomStep): { error?: unknown; state?: unknown } | undefined {
    const { vm, other, number, tokens } = step;
    const account = { vm, event: EVENT };
    const budget = { limit: LIMIT, store: this.#createFault(step) };
    const request = `r${number % 2}`;
    switch (step.action) {
      case "take":
        return this.#options.byExchange
          ? this.#exchange(vm, { ...budget, need: tokens })
          : this.#take(vm, { ...budget, wanted: tokens });
      case "reserve":
        if (this.#fleet.getVm(vm).reservations.has(request)) return undefined;
        return this.#run("budget/reserve", { ...account, request, tokens });
      case "settle":
        return this.#settle(vm, request, tokens);
      case "close":
        return this.#options.byExchange
          ? this.#exchange(vm, { ...budget, need: 0, last: number === 0 })
          : this.#close(vm, { ...budget, number });
      case "top-up":
        this.#paid = LIMIT + TOP_UP;
        return this.#run("budget/top-up", {
          event: EVENT,
          ...budget,
          topUp: "t",
          tokens: TOP_UP,
        });
      case "write-off":
        return this.#writeOff(vm, { ...budget, surely: tokens > 30 });
      case "ask-loan":
        return this.#askLoan(vm, { lender: other, wanted: tokens });
      case "lend":
        return this.#lend(number);
      case "credit":
        return this.#credit(number);
      case "restart":
        return this.#restart(vm);
      case "land":
        return this.#land();
      default:
        return this.#claim(step);
    }
  }

  #run(input: string, fields: Record<string, unknown>) {
    const { schema, run } = this.#options.inputs[input]!;
    const context = { fleet: this.#fleet, now: this.#now };
    try {
      return run(schema.parse(fields), context) as Record<string, unknown>;
    } catch (error) {
      return { error };
    }
  }

  /** A grant's id is kept until the table has answered, and never used again. */
  #take(vm: string, input: Record<string, unknown>) {
    const { incarnation } = this.#fleet.getVm(vm);
    const grant = this.#unanswered.get(vm) ??
      `${vm}/${incarnation}/${++this.#ids}`;
    const found = this.#run("budget/take", {
      vm,
      event: EVENT,
      grant,
      term: TERM,
      ...input,
    });
    if ("store" in found) this.#unanswered.set(vm, grant);
    else this.#unanswered.delete(vm);
    return found;
  }

  /** Takes, closes, shrinks and returns as the daemon does. */
  #exchange(vm: string, input: Record<string, unknown>) {
    const { incarnation } = this.#fleet.getVm(vm);
    const grant = `${vm}/${incarnation}/${++this.#ids}`;
    const account = { vm, event: EVENT };
    return this.#run("budget/exchange", {
      ...account,
      grant,
      term: TERM,
      ...input,
    });
  }

  /** Closes a grant that the VM holds, or returns a loan. */
  #close(vm: string, input: { number: number; limit: number; store: string }) {
    const { number, ...budget } = input;
    const { grants } = this.#fleet.getAccount(vm, EVENT);
    const held = grants[number % Math.max(1, grants.length)];
    if (held === undefined) return undefined;
    const account = { vm, event: EVENT, ...budget };
    return held.lenderGrantId === undefined
      ? this.#run("budget/close", { ...account, grant: held.id })
      : this.#run("budget/return", { ...account, transfer: held.id });
  }

  /** A transfer's id is asked of one lender, by one life. */
  #askLoan(vm: string, input: { lender: string; wanted: number }) {
    if (vm === input.lender) return undefined;
    const { incarnation } = this.#fleet.getVm(vm);
    const number = String(++this.#ids).padStart(ID_DIGITS, "0");
    const transfer = `${vm}/${incarnation}/loan-${number}`;
    this.#transfers.push({ transfer, borrower: vm, ...input });
    const { lender, wanted } = input;
    const account = { vm, event: EVENT };
    return this.#run("budget/ask-loan", {
      ...account,
      transfer,
      lender,
      wanted,
    });
  }

  /** The request of one of the last loans arrives, perhaps again. */
  #lend(back: number) {
    const loan = this.#transfers.at(-1 - back);
    if (loan === undefined) return undefined;
    const { lender, ...request } = loan;
    return this.#run("budget/lend", { vm: lender, event: EVENT, ...request });
  }

  /** The answer of one of the last loans arrives, perhaps again. */
  #credit(back: number) {
    const loan = this.#transfers.at(-1 - back);
    if (loan === undefined) return undefined;
    const { transfer, borrower } = loan;
    if (!this.#fleet.loanAnswers.has(transfer)) return undefined;
    const account = { vm: borrower, event: EVENT };
    return this.#run("budget/credit", { ...account, transfer });
  }

  #createFault({ fault }: RandomStep): string {
    return fault === "late" ? `late:${++this.#lastWrite}` : fault;
  }

  #settle(vm: string, request: string, tokens: number) {
    const held = this.#fleet.getVm(vm).reservations.get(request);
    if (held === undefined) return undefined;
    const spent = Math.min(tokens, held.tokens);
    return this.#run("budget/settle", { vm, event: EVENT, request, spent });
  }

  /** By right evidence, or by wrong evidence against a VM that only sleeps. */
  #writeOff(
    vm: string,
    options: { limit: number; store: string; surely: boolean },
  ) {
    const { surely, ...budget } = options;
    const { incarnation } = this.#fleet.getVm(vm);
    const evidence = surely ? { kind: "later-life", vm, incarnation } : {
      kind: "unlisted",
      vm,
      incarnation,
      unlistedFor: 2,
      required: 1,
    };
    return this.#run("budget/write-off", { event: EVENT, ...budget, evidence });
  }

  /** Targets may use all that was reserved on the VM. */
  #restart(vm: string) {
    this.#unanswered.delete(vm);
    for (const { tokens } of this.#fleet.getVm(vm).reservations.values()) {
      this.#fleet.recordSpent(EVENT, tokens);
    }
    return this.#run("vm/restart", { vm });
  }

  #land() {
    if (this.#lastWrite === 0) return undefined;
    const write = String(this.#lastWrite);
    const landed = this.#run("store/land", { write });
    // The last write may have landed before, or never been sent.
    return "error" in landed ? undefined : landed;
  }

  /** Tries a call that may not be repeated: runs it only under its claim. */
  #claim(step: RandomStep) {
    const attempt = ++this.#attempts;
    const call = { customer: "c", key: "k", digest: "d", vm: step.vm, attempt };
    const store = this.#createFault(step);
    const found = this.#run("request/claim", { ...call, store });
    if (found["state"] !== "taken") {
      if ("store" in found) {
        return this.#run("request/finish", { ...call, end: "not-run" });
      }
      return found;
    }
    if (step.number === 0) {
      return this.#run("request/finish", { ...call, end: "not-run", store });
    }
    this.#runs++;
    const end = step.number === 1 ? "ran" : "unknown";
    return this.#run("request/finish", { ...call, end, store });
  }

  #findViolation(): string | undefined {
    if (this.#runs > 1) return "runs-at-most-once";
    const row = this.#run("budget/read", { event: EVENT });
    if ("error" in row) return undefined;
    const { limit, closed, granted, used } = row as Record<string, number>;
    if (used! > this.#paid) return "never-overspent";
    const counted = closed! + granted!;
    if (counted > limit! || limit! > this.#paid) return "row-within-limit";
    const held = VMS.reduce((sum, vm) => sum + this.#computeHeld(vm), 0);
    return used! + held > counted ? "tokens-conserved" : undefined;
  }

  /** Tokens that a VM may still spend or has reserved. */
  #computeHeld(vm: string): number {
    const account = this.#fleet.getAccount(vm, EVENT);
    const reserved = account.grants
      .reduce((sum, grant) => sum + grant.reserved, 0);
    return reserved + computeAccountRoom(account, this.#now);
  }
}

function checkInvariants(options: RunOptions) {
  const steps = fc.array(STEP, { minLength: STEPS, maxLength: STEPS });
  return fc.check(
    fc.property(steps, (each) => {
      const run = new RandomRun(options);
      for (const step of each) {
        const violation = run.apply(step);
        if (violation !== undefined) throw new Error(violation);
      }
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
}

for (const byExchange of [false, true]) {
  const how = byExchange ? "in exchanges" : "grant by grant";
  test(`no random course of faults overspends, makes tokens or runs a call twice, ${how}`, (t) => {
    const details = checkInvariants({ inputs: REPLAY_INPUTS, byExchange });
    t.false(details.failed, fc.defaultReportMessage(details));
  });
}

type Fields = Record<string, unknown>;

type FaultyRun = (
  run: (fields: Fields) => unknown,
  fields: Fields,
  context: InputContext,
) => unknown;

/** Changes the grants of an account behind the back of the decision code. */
function changeGrants(
  { fleet }: InputContext,
  fields: Fields,
  change: (grant: Grant) => Grant,
): void {
  const { vm, event } = fields as Record<string, string>;
  const account = fleet.getAccount(vm!, event!);
  fleet.putAccount(vm!, { ...account, grants: account.grants.map(change) });
}

const FAULTY_RUNS: Readonly<Record<string, readonly [string, FaultyRun]>> = {
  "a loan that is credited again": ["budget/credit", (run, fields, context) => {
    const { vm, event, transfer } = fields as Record<string, string>;
    const loan = { transferId: transfer!, lender: "b", wanted: 1, askedAt: 0 };
    const account = context.fleet.getAccount(vm!, event!);
    // A loan's parts are grants whose ids begin with the loan's.
    const grants = account.grants
      .filter((grant) => !grant.id.startsWith(transfer!));
    const forgetful = recordLoanRequest({ ...account, grants }, loan);
    context.fleet.putAccount(vm!, forgetful);
    return run(fields);
  }],
  "a loan that is not debited": ["budget/lend", (run, fields, context) => {
    const found = run(fields);
    changeGrants(context, fields, (grant) => ({ ...grant, loans: [] }));
    return found;
  }],
  "a grant closed without what was spent": [
    "budget/close",
    (run, fields, context) => {
      changeGrants(context, fields, (grant) => ({ ...grant, spent: 0 }));
      return run(fields);
    },
  ],
  "an exchange that forgets what was spent": [
    "budget/exchange",
    (run, fields, context) => {
      changeGrants(context, fields, (grant) => ({ ...grant, spent: 0 }));
      return run(fields);
    },
  ],
  "a grant closed while it is reserved": [
    "budget/close",
    (run, fields, context) => {
      changeGrants(context, fields, (grant) => ({ ...grant, reserved: 0 }));
      return run(fields);
    },
  ],
  "a claim that names the VM only": [
    "request/claim",
    (run, fields) => run({ ...fields, attempt: 1 }),
  ],
};

for (const [name, [input, change]] of Object.entries(FAULTY_RUNS)) {
  test(`${name} is noticed`, (t) => {
    const whole = REPLAY_INPUTS[input]!;
    const faulty: ReplayInput = {
      schema: whole.schema,
      run: (fields, context) =>
        change((each) => whole.run(each, context), fields as Fields, context),
    };
    const inputs = { ...REPLAY_INPUTS, [input]: faulty };
    const byExchange = input !== "budget/close";
    t.true(checkInvariants({ inputs, byExchange }).failed);
  });
}
