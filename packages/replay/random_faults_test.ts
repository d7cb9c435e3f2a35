/**
 * Property tests: call the decision code of the budget and request packages
 * with random inputs, faults and restarts, and check the invariants of the
 * model after each step. Faulty variants of the code show that violations are
 * detected.
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

/**
 * Maximum time between two steps in milliseconds; several fit into {@link
 * TERM}.
 */
const MAX_PAUSE = 60_000;

/** Time in milliseconds for which a grant accepts reservations. */
const TERM = 900_000;

/**
 * Number of digits in a loan's id, so that no id is a prefix of another one.
 */
const ID_DIGITS = 4;

/** A random step: the action, the VMs involved, and the fault of its write. */
interface RandomStep {
  readonly action: string;
  readonly vm: string;
  readonly other: string;
  readonly number: number;
  readonly tokens: number;
  readonly pause: number;
  readonly fault: "ok" | "answer-lost" | "down" | "late";
}

/**
 * Relative frequency of each action. Actions that make tokens unavailable for
 * the rest of the run are rare.
 */
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

const WEIGHTED_ACTIONS = Object.entries(ACTIONS)
  .flatMap(([action, weight]) => Array<string>(weight).fill(action));

const STEP: fc.Arbitrary<RandomStep> = fc.record({
  action: fc.constantFrom(...WEIGHTED_ACTIONS),
  vm: fc.constantFrom(...VMS),
  other: fc.constantFrom(...VMS),
  number: fc.nat({ max: 2 }),
  tokens: fc.integer({ min: 1, max: 60 }),
  pause: fc.nat({ max: MAX_PAUSE }),
  fault: fc.constantFrom("ok", "ok", "answer-lost", "down", "late"),
});

/**
 * The decision code under test, and how VMs write their grants to the store.
 */
interface RunOptions {
  readonly inputs: InputTable;
  /** Whether VMs use exchanges, as the daemon does, or one write per grant. */
  readonly byExchange: boolean;
}

/** VMs under random faults, with the actions of their targets and operators. */
class RandomRun {
  readonly #fleet = new ReplayFleet();
  readonly #options: RunOptions;
  #now = 0;
  #lateWriteCount = 0;
  #attemptCount = 0;
  #paid = LIMIT;
  #callRuns = 0;
  #idCount = 0;
  /** By VM, the id of the grant whose take was not answered. */
  readonly #unansweredTakes = new Map<string, string>();
  readonly #transfers: {
    readonly transfer: string;
    readonly borrower: string;
    readonly lender: string;
    readonly wanted: number;
  }[] = [];

  constructor(options: RunOptions) {
    this.#options = options;
  }

  /** Runs a step; returns the violated invariant or the error, if any. */
  apply(step: RandomStep): string | undefined {
    this.#now += step.pause;
    const found = this.#runAction(step);
    if (found !== undefined && "error" in found) return String(found.error);
    return this.#findViolation();
  }

  #runAction(
    step: RandomStep,
  ): { error?: unknown; state?: unknown } | undefined {
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
        return this.#runInput("budget/reserve", {
          ...account,
          request,
          tokens,
        });
      case "settle":
        return this.#settle(vm, request, tokens);
      case "close":
        return this.#options.byExchange
          ? this.#exchange(vm, { ...budget, need: 0, last: number === 0 })
          : this.#close(vm, { ...budget, number });
      case "top-up":
        this.#paid = LIMIT + TOP_UP;
        return this.#runInput("budget/top-up", {
          event: EVENT,
          ...budget,
          topUp: "t",
          tokens: TOP_UP,
        });
      case "write-off":
        return this.#writeOff(vm, {
          ...budget,
          hasCorrectEvidence: tokens > 30,
        });
      case "ask-loan":
        return this.#askLoan(vm, { lender: other, wanted: tokens });
      case "lend":
        return this.#lend(number);
      case "credit":
        return this.#credit(number);
      case "restart":
        return this.#restart(vm);
      case "land":
        return this.#applyLateWrite();
      default:
        return this.#claim(step);
    }
  }

  #runInput(input: string, fields: Record<string, unknown>) {
    const { schema, run } = this.#options.inputs[input]!;
    const context = { fleet: this.#fleet, now: this.#now };
    try {
      return run(schema.parse(fields), context) as Record<string, unknown>;
    } catch (error) {
      return { error };
    }
  }

  /**
   * Takes a grant. Its id is kept until the store has answered, then not
   * reused.
   */
  #take(vm: string, input: Record<string, unknown>) {
    const { incarnation } = this.#fleet.getVm(vm);
    const grant = this.#unansweredTakes.get(vm) ??
      `${vm}/${incarnation}/${++this.#idCount}`;
    const found = this.#runInput("budget/take", {
      vm,
      event: EVENT,
      grant,
      term: TERM,
      ...input,
    });
    if ("store" in found) this.#unansweredTakes.set(vm, grant);
    else this.#unansweredTakes.delete(vm);
    return found;
  }

  /**
   * Takes, closes, shrinks and returns grants in one write, as the daemon does.
   */
  #exchange(vm: string, input: Record<string, unknown>) {
    const { incarnation } = this.#fleet.getVm(vm);
    const grant = `${vm}/${incarnation}/${++this.#idCount}`;
    const account = { vm, event: EVENT };
    return this.#runInput("budget/exchange", {
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
      ? this.#runInput("budget/close", { ...account, grant: held.id })
      : this.#runInput("budget/return", { ...account, transfer: held.id });
  }

  /**
   * Asks for a loan. A transfer id is used by one incarnation with one lender.
   */
  #askLoan(vm: string, input: { lender: string; wanted: number }) {
    if (vm === input.lender) return undefined;
    const { incarnation } = this.#fleet.getVm(vm);
    const number = String(++this.#idCount).padStart(ID_DIGITS, "0");
    const transfer = `${vm}/${incarnation}/loan-${number}`;
    this.#transfers.push({ transfer, borrower: vm, ...input });
    const { lender, wanted } = input;
    const account = { vm, event: EVENT };
    return this.#runInput("budget/ask-loan", {
      ...account,
      transfer,
      lender,
      wanted,
    });
  }

  /**
   * The request for one of the last loans arrives at the lender, maybe again.
   */
  #lend(stepsBack: number) {
    const loan = this.#transfers.at(-1 - stepsBack);
    if (loan === undefined) return undefined;
    const { lender, ...request } = loan;
    return this.#runInput("budget/lend", {
      vm: lender,
      event: EVENT,
      ...request,
    });
  }

  /**
   * The answer to one of the last loans arrives at the borrower, maybe again.
   */
  #credit(stepsBack: number) {
    const loan = this.#transfers.at(-1 - stepsBack);
    if (loan === undefined) return undefined;
    const { transfer, borrower } = loan;
    if (!this.#fleet.loanAnswers.has(transfer)) return undefined;
    const account = { vm: borrower, event: EVENT };
    return this.#runInput("budget/credit", { ...account, transfer });
  }

  #createFault({ fault }: RandomStep): string {
    return fault === "late" ? `late:${++this.#lateWriteCount}` : fault;
  }

  #settle(vm: string, request: string, tokens: number) {
    const held = this.#fleet.getVm(vm).reservations.get(request);
    if (held === undefined) return undefined;
    const spent = Math.min(tokens, held.tokens);
    return this.#runInput("budget/settle", {
      vm,
      event: EVENT,
      request,
      spent,
    });
  }

  /**
   * Writes off a VM's grants, either on correct evidence or on wrong evidence
   * against a VM that is only paused.
   */
  #writeOff(
    vm: string,
    options: { limit: number; store: string; hasCorrectEvidence: boolean },
  ) {
    const { hasCorrectEvidence, ...budget } = options;
    const { incarnation } = this.#fleet.getVm(vm);
    const evidence = hasCorrectEvidence
      ? { kind: "later-life", vm, incarnation }
      : {
        kind: "unlisted",
        vm,
        incarnation,
        unlistedFor: 2,
        required: 1,
      };
    return this.#runInput("budget/write-off", {
      event: EVENT,
      ...budget,
      evidence,
    });
  }

  /** Restarts a VM; targets use all tokens that were reserved on it. */
  #restart(vm: string) {
    this.#unansweredTakes.delete(vm);
    for (const { tokens } of this.#fleet.getVm(vm).reservations.values()) {
      this.#fleet.recordUsedTokens(EVENT, tokens);
    }
    return this.#runInput("vm/restart", { vm });
  }

  #applyLateWrite() {
    if (this.#lateWriteCount === 0) return undefined;
    const write = String(this.#lateWriteCount);
    const landed = this.#runInput("store/land", { write });
    // The last write may have been applied already or never been sent.
    return "error" in landed ? undefined : landed;
  }

  /** Attempts a call that may not be repeated; runs it only with its claim. */
  #claim(step: RandomStep) {
    const attempt = ++this.#attemptCount;
    const call = { customer: "c", key: "k", digest: "d", vm: step.vm, attempt };
    const store = this.#createFault(step);
    const found = this.#runInput("request/claim", { ...call, store });
    if (found["state"] !== "taken") {
      if ("store" in found) {
        return this.#runInput("request/finish", { ...call, end: "not-run" });
      }
      return found;
    }
    if (step.number === 0) {
      return this.#runInput("request/finish", {
        ...call,
        end: "not-run",
        store,
      });
    }
    this.#callRuns++;
    const end = step.number === 1 ? "ran" : "unknown";
    return this.#runInput("request/finish", { ...call, end, store });
  }

  #findViolation(): string | undefined {
    if (this.#callRuns > 1) return "runs-at-most-once";
    const row = this.#runInput("budget/read", { event: EVENT });
    if ("error" in row) return undefined;
    const { limit, closed, granted, used } = row as Record<string, number>;
    if (used! > this.#paid) return "never-overspent";
    const counted = closed! + granted!;
    if (counted > limit! || limit! > this.#paid) return "row-within-limit";
    const held = VMS.reduce((sum, vm) => sum + this.#computeHeld(vm), 0);
    return used! + held > counted ? "tokens-conserved" : undefined;
  }

  /** Returns the tokens that a VM may still spend or has reserved. */
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
  const how = byExchange ? "with exchanges" : "with one write per grant";
  test(`random faults never overspend, create tokens or run a call twice, ${how}`, (t) => {
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

/** Changes the grants of an account without the decision code. */
function changeGrants(
  { fleet }: InputContext,
  fields: Fields,
  change: (grant: Grant) => Grant,
): void {
  const { vm, event } = fields as Record<string, string>;
  const account = fleet.getAccount(vm!, event!);
  fleet.putAccount(vm!, { ...account, grants: account.grants.map(change) });
}

const FAULTY_VARIANTS: Readonly<Record<string, readonly [string, FaultyRun]>> =
  {
    "a loan that is credited again": [
      "budget/credit",
      (run, fields, context) => {
        const { vm, event, transfer } = fields as Record<string, string>;
        const loan = {
          transferId: transfer!,
          lender: "b",
          wanted: 1,
          askedAt: 0,
        };
        const account = context.fleet.getAccount(vm!, event!);
        // The grants of a loan have ids that begin with the id of the loan.
        const grants = account.grants
          .filter((grant) => !grant.id.startsWith(transfer!));
        const uncreditedAccount = recordLoanRequest(
          { ...account, grants },
          loan,
        );
        context.fleet.putAccount(vm!, uncreditedAccount);
        return run(fields);
      },
    ],
    "a loan that is not debited": ["budget/lend", (run, fields, context) => {
      const found = run(fields);
      changeGrants(context, fields, (grant) => ({ ...grant, loans: [] }));
      return found;
    }],
    "a close that does not report what was spent": [
      "budget/close",
      (run, fields, context) => {
        changeGrants(context, fields, (grant) => ({ ...grant, spent: 0 }));
        return run(fields);
      },
    ],
    "an exchange that does not report what was spent": [
      "budget/exchange",
      (run, fields, context) => {
        changeGrants(context, fields, (grant) => ({ ...grant, spent: 0 }));
        return run(fields);
      },
    ],
    "a grant closed while it has a reservation": [
      "budget/close",
      (run, fields, context) => {
        changeGrants(context, fields, (grant) => ({ ...grant, reserved: 0 }));
        return run(fields);
      },
    ],
    "a claim that names only the VM": [
      "request/claim",
      (run, fields) => run({ ...fields, attempt: 1 }),
    ],
  };

for (const [name, [input, change]] of Object.entries(FAULTY_VARIANTS)) {
  test(`${name} violates an invariant`, (t) => {
    const correct = REPLAY_INPUTS[input]!;
    const faulty: ReplayInput = {
      schema: correct.schema,
      run: (fields, context) =>
        change((each) => correct.run(each, context), fields as Fields, context),
    };
    const inputs = { ...REPLAY_INPUTS, [input]: faulty };
    const byExchange = input !== "budget/close";
    t.true(checkInvariants({ inputs, byExchange }).failed);
  });
}
