/**
 * Property test of claims, the request table and bills. Random steps at two VMs
 * include lost store answers, crashes, broken connections to targets and
 * concurrent retries of a few keys. The simulation records which calls were
 * dispatched. Faulty variants of the functions must fail the same property.
 */
import test from "ava";
import fc from "fast-check";
import type { RowOperation } from "../core/mod.ts";
import { MemoryRows } from "../stand_ins/mod.ts";
import {
  AdmitState,
  type Bill,
  BILL_BATCH_PREFIX,
  type ClaimEnd,
  type ClaimInput,
  ClaimState,
  collectBills,
  createBillBatch,
  createFinishClaim,
  createTakeClaim,
  type KeptAnswer,
  RequestTable,
} from "./mod.ts";

const SEED = 20_262;
const PRODUCTION = { collectBills, createFinishClaim, createTakeClaim };
type Decisions = typeof PRODUCTION;

enum StepKind {
  Arrive = "arrive",
  Claim = "claim",
  LoseClaim = "lose-claim",
  GiveUp = "give-up",
  Dispatch = "dispatch",
  Answer = "answer",
  Break = "break",
  Finish = "finish",
  LoseFinish = "lose-finish",
  Bill = "bill",
  LoseBill = "lose-bill",
  Crash = "crash",
}

interface Step {
  readonly kind: StepKind;
  readonly vm: number;
  readonly key: number;
  readonly body: number;
}

interface Attempt {
  readonly run: number;
  readonly claim: ClaimInput;
  isTaken: boolean;
  isDispatched: boolean;
  end?: ClaimEnd;
}

interface Vm {
  incarnation: number;
  table: RequestTable<KeptAnswer>;
  attempts: Attempt[];
  bills: Bill[];
  batch: number;
}

function createVm(incarnation: number): Vm {
  const table = new RequestTable<KeptAnswer>();
  return { incarnation, table, attempts: [], bills: [], batch: 1 };
}

class RequestSimulation {
  readonly #decisions: Decisions;
  readonly #rows = new MemoryRows();
  readonly #vms = [createVm(1), createVm(1)];
  /** Digests of the dispatched calls, by request key. */
  readonly #ran = new Map<string, { readonly digest: string }[]>();
  /** Request keys that must have a bill in the end. */
  readonly #expectedBills = new Set<string>();

  constructor(decisions: Decisions) {
    this.#decisions = decisions;
  }

  run(step: Step): void {
    const vm = this.#vms[step.vm]!;
    if (step.kind === StepKind.Arrive) return this.#arrive(vm, step);
    if (step.kind === StepKind.Bill) return this.#writeBills(vm, true);
    if (step.kind === StepKind.LoseBill) return this.#writeBills(vm, false);
    if (step.kind === StepKind.Crash) return this.#crash(step.vm);
    const attempt = vm.attempts[step.key % Math.max(1, vm.attempts.length)];
    if (attempt !== undefined) this.#advance(vm, attempt, step.kind);
  }

  /** Finishes all attempts, writes all bills and checks them. */
  finish(): void {
    for (const vm of this.#vms) {
      for (const attempt of [...vm.attempts]) {
        this.#advance(vm, attempt, StepKind.Claim);
        this.#advance(vm, attempt, StepKind.Dispatch);
        this.#advance(vm, attempt, StepKind.Answer);
        this.#advance(vm, attempt, StepKind.Finish);
      }
      this.#writeBills(vm, true);
    }
    const bills = this.#decisions.collectBills(
      this.#rows.list(BILL_BATCH_PREFIX),
    );
    const billed = bills.map((bill) => bill.requestKey);
    expect(new Set(billed).size === billed.length, "billed twice");
    expect(billed.every((key) => this.#ran.has(key)), "billed but never ran");
    expect(
      [...this.#expectedBills].every((key) => billed.includes(key)),
      "ended but not billed",
    );
  }

  #arrive(vm: Vm, step: Step): void {
    const requestKey = `k${step.key % 3}`;
    const request = { customer: "c", requestKey, digest: `d${step.body}` };
    const admitted = vm.table.admit(request, 0);
    if (admitted.state === AdmitState.Kept) {
      return this.#deliver(request, admitted.outcome);
    }
    if (admitted.state !== AdmitState.Started) return;
    const holder = {
      vm: `vm-${step.vm}`,
      incarnation: String(vm.incarnation),
      attempt: admitted.run,
    };
    const claim = { ...request, ...holder, wallTime: 0 };
    const { run } = admitted;
    const isTaken = isRepeatable(claim);
    vm.attempts.push({ run, claim, isTaken, isDispatched: false });
  }

  #advance(vm: Vm, attempt: Attempt, kind: StepKind): void {
    const { isTaken, isDispatched, end } = attempt;
    const isWaiting = !isTaken && end === undefined;
    const canEnd = isDispatched && end === undefined;
    if (kind === StepKind.Claim && isWaiting) this.#claim(vm, attempt);
    if (kind === StepKind.LoseClaim && isWaiting) this.#takeClaim(attempt);
    if (kind === StepKind.GiveUp && !isDispatched && end === undefined) {
      attempt.end = { state: "not-run" };
    }
    if (kind === StepKind.Dispatch && isTaken && !isDispatched && !end) {
      this.#dispatch(attempt);
    }
    if (kind === StepKind.Answer && canEnd) attempt.end = createEnd(attempt);
    if (kind === StepKind.Break && canEnd) attempt.end = { state: "unknown" };
    if (kind === StepKind.Finish && end !== undefined) {
      this.#finishClaim(attempt, end);
      this.#end(vm, attempt, end);
    }
    if (kind === StepKind.LoseFinish && end !== undefined) {
      this.#finishClaim(attempt, end);
    }
  }

  #takeClaim(attempt: Attempt) {
    return this.#apply(this.#decisions.createTakeClaim(attempt.claim));
  }

  #claim(vm: Vm, attempt: Attempt): void {
    const { state, answer } = this.#takeClaim(attempt);
    if (state === ClaimState.Taken) {
      attempt.isTaken = true;
      return;
    }
    if (answer !== undefined) this.#deliver(attempt.claim, answer);
    this.#remove(vm, attempt);
  }

  #dispatch(attempt: Attempt): void {
    const { requestKey, digest } = attempt.claim;
    const runs = [...this.#ran.get(requestKey) ?? [], { digest }];
    this.#ran.set(requestKey, runs);
    expect(runs.length === 1 || isRepeatable(attempt.claim), "ran twice");
    attempt.isDispatched = true;
  }

  #finishClaim(attempt: Attempt, end: ClaimEnd): void {
    if (isRepeatable(attempt.claim)) return;
    this.#apply(this.#decisions.createFinishClaim(attempt.claim, end));
  }

  #end(vm: Vm, attempt: Attempt, end: ClaimEnd): void {
    this.#remove(vm, attempt, end);
    if (end.state === "not-run") {
      expect(!attempt.isDispatched, "reported as not run but was dispatched");
    }
    if (end.state !== "ran") return;
    const { customer, requestKey } = attempt.claim;
    const bill = { customer, requestKey, event: "e", kind: "k" };
    vm.bills.push({ ...bill, tokens: end.tokens, endedAt: 0 });
    this.#expectedBills.add(requestKey);
  }

  #remove(vm: Vm, attempt: Attempt, end?: ClaimEnd): void {
    vm.attempts = vm.attempts.filter((each) => each !== attempt);
    const keep = end?.state === "ran"
      ? { keep: { outcome: end.answer, bytes: 1 } }
      : {};
    vm.table.finish(attempt.run, { now: 0, ...keep });
  }

  /** Checks that the answer belongs to the caller's own key and body. */
  #deliver(
    request: { readonly requestKey: string; readonly digest: string },
    answer: KeptAnswer,
  ): void {
    const { requestKey, digest } = request;
    const own = answer.contentType === `${requestKey}/${digest}`;
    expect(own, "got the answer of another request");
  }

  /**
   * Writes the first waiting bill as a batch. If the store's answer is lost, the
   * batch is written again with the same number later; otherwise the other bills
   * are written too.
   */
  #writeBills(vm: Vm, isAnswered: boolean): void {
    if (vm.bills.length === 0) return;
    const name = `vm-${this.#vms.indexOf(vm)}`;
    this.#apply(createBillBatch({
      vm: name,
      incarnation: String(vm.incarnation),
      number: vm.batch,
      bills: [vm.bills[0]!],
    }));
    if (!isAnswered) return;
    vm.batch++;
    vm.bills.shift();
    this.#writeBills(vm, true);
  }

  #crash(index: number): void {
    const vm = this.#vms[index]!;
    for (const bill of vm.bills) this.#expectedBills.delete(bill.requestKey);
    this.#vms[index] = createVm(vm.incarnation + 1);
  }

  #apply<Result>(operation: RowOperation<Result>): Result {
    return this.#rows.apply(operation);
  }
}

/** Returns whether the call needs no claim; that holds for one of the keys. */
function isRepeatable(claim: ClaimInput): boolean {
  return claim.requestKey === "k2";
}

function createEnd(attempt: Attempt): ClaimEnd {
  const { requestKey, digest } = attempt.claim;
  const contentType = `${requestKey}/${digest}`;
  const answer = { status: 200, contentType, bodyBase64: "" };
  return { state: "ran", answer, tokens: 1 };
}

function expect(holds: boolean, violation: string): void {
  if (!holds) throw new Error(violation);
}

function checkRuns(decisions: Decisions): fc.RunDetails<[Step[]]> {
  const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(
      ...Object.values(StepKind),
      ...[StepKind.Arrive, StepKind.Claim, StepKind.Dispatch, StepKind.Answer],
      ...[StepKind.Arrive, StepKind.Claim, StepKind.Finish],
    ),
    vm: fc.nat(1),
    key: fc.nat(5),
    body: fc.nat(1),
  });
  const steps = fc.array(step, { minLength: 20, maxLength: 80, size: "max" });
  const property = fc.property(steps, (list) => {
    const simulation = new RequestSimulation(decisions);
    for (const each of list) simulation.run(each);
    simulation.finish();
  });
  return fc.check(property, {
    seed: SEED,
    numRuns: 2_000,
    endOnFailure: decisions !== PRODUCTION,
  });
}

test("a key runs at most once, is billed once, and gets its own answer", (t) => {
  const run = checkRuns(PRODUCTION);
  t.false(run.failed, fc.defaultReportMessage(run));
});

const FAULTY_VARIANTS: Readonly<Record<string, Partial<Decisions>>> = {
  "existing claims are ignored": {
    createTakeClaim: (claim) => {
      const operation = createTakeClaim(claim);
      return { ...operation, decide: () => operation.decide(new Map()) };
    },
  },
  "attempts of one VM are not distinguished": {
    createTakeClaim: (claim) => createTakeClaim({ ...claim, attempt: 0 }),
  },
  "a call whose connection broke is recorded as not run": {
    createFinishClaim: (claim, end) =>
      createFinishClaim(
        claim,
        end.state === "unknown" ? { state: "not-run" } : end,
      ),
  },
  "request bodies are not compared": {
    createTakeClaim: (claim) => createTakeClaim({ ...claim, digest: "d" }),
  },
  "bills are not deduplicated across rows": {
    collectBills: (rows) => rows.flatMap((row) => collectBills([row])),
  },
};

for (const [name, variant] of Object.entries(FAULTY_VARIANTS)) {
  test(`the property fails when ${name}`, (t) => {
    t.true(checkRuns({ ...PRODUCTION, ...variant }).failed);
  });
}
