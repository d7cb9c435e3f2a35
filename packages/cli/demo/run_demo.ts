/**
 * The demo: sends a few requests through two entry VMs and checks the guarantees
 * that these requests exercise.
 */
import { createHash } from "node:crypto";
import Table from "cli-table3";
import { computeBudgetLeft, computeGranted } from "../../budget/mod.ts";
import { computeAnswerToken } from "../../stand_ins/mod.ts";
import {
  BUDGET_TOKENS,
  callEntry,
  createChatBody,
  readBills,
  readStreamText,
  readTrialBudget,
  startTrialFleet,
  type TrialAnswer,
  type TrialFleet,
} from "../../trial/mod.ts";

/** A guarantee and whether it held in the demo. */
interface DemoCheck {
  readonly guarantee: string;
  readonly held: boolean;
}

/** A request, by its description, and the answer that its caller received. */
interface DemoStep {
  readonly request: string;
  readonly answer: TrialAnswer;
}

const BRIEFING_TOKENS = 60;
const ENGINES = ["engine-1", "engine-2"];

/** Runs the demo and prints it; returns whether every guarantee held. */
export async function runDemo(
  print: (line: string) => void,
): Promise<boolean> {
  const fleet = await startTrialFleet({
    engines: ENGINES.map(() => ({ answerTokens: BRIEFING_TOKENS })),
  });
  try {
    const steps = await runSteps(fleet);
    await fleet.stopDaemons();
    const checks = await checkGuarantees(fleet, steps);
    printSteps(print, steps);
    await printBilling(print, fleet);
    printChecks(print, checks);
    return checks.every((check) => check.held);
  } finally {
    await fleet.stopServers();
  }
}

async function runSteps(fleet: TrialFleet): Promise<DemoStep[]> {
  const [first, second] = fleet.daemons.map((daemon) => daemon.callerAddress);
  const call = async (
    request: string,
    input: { address?: string | undefined; kind: string; key: string },
  ): Promise<DemoStep> => ({
    request,
    answer: await callEntry({
      address: input.address ?? "",
      kind: input.kind,
      requestKey: input.key,
      body: createBody(input.kind, input.key.replace(/-again$/, "")),
    }),
  });
  const steps = [
    await call("long briefing, streamed", {
      address: first,
      kind: "briefing",
      key: "b-1",
    }),
    await call("chat reply", { address: second, kind: "reply", key: "r-1" }),
    await call("booking", { address: first, kind: "booking", key: "k-1" }),
    await call("the same booking at the other VM", {
      address: second,
      kind: "booking",
      key: "k-1",
    }),
    await call("request past the budget", {
      address: first,
      kind: "marathon",
      key: "m-1",
    }),
  ];
  // Each engine interrupts its next stream halfway, as a crashing target does.
  fleet.engines[0]?.breakAfter(BRIEFING_TOKENS / 2);
  fleet.engines[1]?.breakAfter(BRIEFING_TOKENS / 2);
  steps.push(
    await call("briefing while its target dies", {
      address: second,
      kind: "briefing",
      key: "b-2",
    }),
  );
  return steps;
}

function createBody(kind: string, key: string): unknown {
  if (kind === "booking") return { companion: "Almaz", gate: 4 };
  return createChatBody(`Please plan the arrival. ${key}`);
}

async function checkGuarantees(
  fleet: TrialFleet,
  steps: readonly DemoStep[],
): Promise<DemoCheck[]> {
  const [briefing, reply, booking, duplicate, overBudget, interrupted] = steps
    .map((step) => step.answer);
  const bills = await readBills(fleet.table.table);
  const budget = readTrialBudget(fleet.table.table);
  const identities = bills.map((bill) => `${bill.customer}/${bill.requestKey}`);
  return [
    {
      guarantee: "every admitted request got its complete answer",
      held: isComplete(briefing, "b-1") && isComplete(interrupted, "b-2") &&
        reply?.outcome === "ran",
    },
    {
      guarantee: "a booking sent twice ran once and gave one answer",
      held: fleet.services[0]?.readRuns().get("k-1") === 1 &&
        booking?.text === duplicate?.text && duplicate?.status === 200,
    },
    {
      guarantee: "a request that was reported as not run was not run",
      held: overBudget?.outcome === "not-run" && overBudget.status === 402 &&
        !identities.some((identity) => identity.endsWith("/m-1")),
    },
    {
      guarantee: "each request was billed exactly once",
      held: identities.length === 4 && new Set(identities).size === 4,
    },
    {
      guarantee:
        "spent tokens stay within the budget, and all grants were returned",
      held: budget.limit === BUDGET_TOKENS && computeBudgetLeft(budget) >= 0 &&
        computeGranted(budget) === 0,
    },
  ];
}

function isComplete(answer: TrialAnswer | undefined, key: string): boolean {
  if (answer === undefined || answer.outcome !== "ran") return false;
  const body = createBody("briefing", key) as { messages: unknown };
  const digest = createHash("sha256").update(JSON.stringify(body.messages))
    .digest("hex");
  const pieces = Array.from(
    { length: BRIEFING_TOKENS },
    (_, position) => computeAnswerToken(digest, position),
  );
  return readStreamText(answer.text) === pieces.join("");
}

function printSteps(
  print: (line: string) => void,
  steps: readonly DemoStep[],
): void {
  const table = new Table({
    head: ["request", "status", "outcome", "answer"],
    style: { head: [], border: [] },
  });
  for (const { request, answer } of steps) {
    table.push([
      request,
      answer.status,
      answer.outcome,
      describeText(answer),
    ]);
  }
  print("What the caller saw");
  print(table.toString());
}

const MAX_SHOWN_CHARACTERS = 60;

function describeText(answer: TrialAnswer): string {
  const text = answer.text.startsWith("data:")
    ? `${readStreamText(answer.text).trim().split(" ").length} words`
    : answer.text;
  return text.length > MAX_SHOWN_CHARACTERS
    ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}...`
    : text;
}

async function printBilling(
  print: (line: string) => void,
  fleet: TrialFleet,
): Promise<void> {
  const bills = new Table({
    head: ["billed request", "kind", "tokens"],
    style: { head: [], border: [] },
  });
  for (const bill of await readBills(fleet.table.table)) {
    bills.push([bill.requestKey, bill.kind, bill.tokens]);
  }
  print("What was billed");
  print(bills.toString());
  const budget = readTrialBudget(fleet.table.table);
  const granted = computeGranted(budget);
  const left = computeBudgetLeft(budget);
  print(
    `Budget: limit ${budget.limit}, spent ${budget.closed}, granted ${granted}, left ${left} tokens`,
  );
}

function printChecks(
  print: (line: string) => void,
  checks: readonly DemoCheck[],
): void {
  for (const check of checks) {
    print(`${check.held ? "held  " : "BROKEN"}  ${check.guarantee}`);
  }
}
