/** End-to-end requests through real daemons while targets, VMs or the store fail. */
import { createHash } from "node:crypto";
import test, { type ExecutionContext } from "ava";
import {
  callEntry,
  createChatBody,
  type FleetOptions,
  listBillIdentities,
  OTHER_CUSTOMER_KEY,
  readBills,
  readStreamText,
  readTrialBudget,
  startTrialFleet,
  type TrialFleet,
} from "../trial/mod.ts";
import { computeBudgetLeft, computeGranted } from "../budget/mod.ts";
import { CallFault, computeAnswerToken } from "../stand_ins/mod.ts";

const ANSWER_TOKENS = 40;
const ENGINE = { answerTokens: ANSWER_TOKENS };

async function startFleet(
  t: ExecutionContext,
  options: FleetOptions = {},
): Promise<TrialFleet> {
  const fleet = await startTrialFleet(options);
  t.teardown(() => fleet.kill());
  return fleet;
}

const POLL_MILLIS = 5;

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLIS));
  }
}

function computeAnswer(text: string, tokens = ANSWER_TOKENS): string {
  const { messages } = createChatBody(text);
  const digest = createHash("sha256").update(JSON.stringify(messages))
    .digest("hex");
  const positions = Array.from({ length: tokens }, (_, index) => index);
  return positions.map((position) => computeAnswerToken(digest, position)).join(
    "",
  );
}

function chat(fleet: TrialFleet, text: string, vm = 0) {
  return callEntry({
    address: fleet.daemons[vm]!.callerAddress,
    kind: "briefing",
    requestKey: `key-${text.replace(" ", "-")}`,
    body: createChatBody(text),
  });
}

function book(fleet: TrialFleet, requestKey: string, vm = 0) {
  return callEntry({
    address: fleet.daemons[vm]!.callerAddress,
    kind: "booking",
    requestKey,
    body: { companion: "Almaz" },
  });
}

test("many concurrent callers each get the complete answer to their own request", async (t) => {
  const fleet = await startFleet(t, {
    engines: [ENGINE, ENGINE],
    budgetTokens: 1_000_000,
  });
  const texts = Array.from({ length: 60 }, (_, index) => `question ${index}`);
  const answers = await Promise.all(
    texts.map((text, index) => chat(fleet, text, index % 2)),
  );
  for (const [index, answer] of answers.entries()) {
    t.is(answer.outcome, "ran");
    t.is(readStreamText(answer.text), computeAnswer(texts[index]!));
  }
  await fleet.stopDaemons();
  t.is((await readBills(fleet.table.table)).length, texts.length);
  t.is(computeGranted(readTrialBudget(fleet.table.table)), 0);
});

test("a caller that disconnects cancels its stream and pays for the tokens used", async (t) => {
  const slow = { answerTokens: 60, tokenDelay: 20 };
  const fleet = await startFleet(t, { vms: 1, engines: [slow] });
  const disconnected = await callEntry({
    address: fleet.daemons[0]!.callerAddress,
    kind: "briefing",
    requestKey: "leaves",
    body: createChatBody("leaves"),
    hangUpAfter: "data:",
  });
  t.false(disconnected.isComplete);
  // A second call on the same pooled connection must not be affected.
  const next = await chat(fleet, "stays");
  t.is(readStreamText(next.text), computeAnswer("stays", 60));
  await fleet.stopDaemons();
  const engine = fleet.engines[0]!.readCounts();
  t.true(engine.tokens < 120, `generated ${engine.tokens}`);
  const budget = readTrialBudget(fleet.table.table);
  t.true(budget.closed < 2 * (60 + 40), `spent ${budget.closed}`);
});

test("concurrent duplicates at two VMs share one run and one answer", async (t) => {
  const fleet = await startFleet(t, { engines: [ENGINE] });
  const answers = await Promise.all(
    [0, 1, 0, 1].map((vm) => chat(fleet, "same", vm)),
  );
  for (const answer of answers) {
    t.is(readStreamText(answer.text), computeAnswer("same"));
  }
  t.is(fleet.engines[0]!.readCounts().requests, 1);
  const bookings = await Promise.all(
    [0, 1, 0, 1].map((vm) => book(fleet, "same-booking", vm)),
  );
  t.deepEqual(new Set(bookings.map((answer) => answer.text)).size, 1);
  t.is(fleet.services[0]!.readRuns().get("same-booking"), 1);
  await fleet.stopDaemons();
  t.is((await listBillIdentities(fleet.table.table)).length, 2);
});

test("a booking whose answer is lost has an unknown outcome and is never run again", async (t) => {
  const fleet = await startFleet(t);
  fleet.services[0]!.loseAnswers(1);
  const first = await book(fleet, "lost");
  t.is(first.outcome, "unknown");
  t.is(first.reason, "outcome-unknown");
  const again = await book(fleet, "lost", 1);
  t.is(again.outcome, "unknown");
  t.is(fleet.services[0]!.readRuns().get("lost"), 1);
});

test("a request key reused with a different body is refused", async (t) => {
  const fleet = await startFleet(t);
  const address = fleet.daemons[0]!.callerAddress;
  const call = { address, kind: "booking", requestKey: "key" };
  t.is((await callEntry({ ...call, body: { a: 1 } })).outcome, "ran");
  const other = await callEntry({ ...call, body: { a: 2 } });
  t.is(other.reason, "request-key-reused");
  t.is(other.outcome, "not-run");
  t.is(fleet.services[0]!.readRuns().size, 1);
});

test("when a VM crashes in mid-stream, a retry at another VM gets the complete answer", async (t) => {
  const slow = { answerTokens: ANSWER_TOKENS, tokenDelay: 10 };
  const fleet = await startFleet(t, {
    engines: [slow, slow],
    budgetTokens: 100_000,
  });
  const calls = [0, 1].map((vm) => chat(fleet, "survives", vm));
  await waitUntil(() =>
    fleet.engines.some((engine) => engine.readCounts().tokens > 5)
  );
  fleet.daemons[0]!.kill();
  const answers = await Promise.all(calls);
  // Whichever VM was the home VM, a retry at the other one gets the complete
  // answer.
  const retried = await chat(fleet, "survives", 1);
  t.is(readStreamText(retried.text), computeAnswer("survives"));
  for (const answer of answers.filter((each) => each.outcome === "ran")) {
    t.is(readStreamText(answer.text), computeAnswer("survives"));
  }
  await fleet.daemons[1]!.stop();
  t.deepEqual(await listBillIdentities(fleet.table.table), [
    "selam-tours/key-survives",
  ]);
});

test("a stream interrupted at one target is resumed at another without loss or repetition", async (t) => {
  const fleet = await startFleet(t, { engines: [ENGINE, ENGINE] });
  fleet.engines[0]!.breakAfter(10);
  fleet.engines[1]!.breakAfter(30);
  const answer = await chat(fleet, "broken");
  t.is(answer.outcome, "ran");
  t.is(readStreamText(answer.text), computeAnswer("broken"));
});

test("a stream from a frozen target is resumed at another target", async (t) => {
  const fleet = await startFleet(t, {
    engines: [{ ...ENGINE, tokenDelay: 5 }, { ...ENGINE, tokenDelay: 5 }],
    progressTimeoutMillis: 1_500,
  });
  const running = chat(fleet, "freezes");
  await waitUntil(() =>
    fleet.engines.some((engine) => engine.readCounts().tokens > 5)
  );
  const serving = fleet.engines.find((engine) =>
    engine.readCounts().requests > 0
  );
  serving!.freeze(true);
  const answer = await running;
  t.is(answer.outcome, "ran");
  t.is(readStreamText(answer.text), computeAnswer("freezes"));
});

test("while the store is down, held grants are still spent and bookings are not run", async (t) => {
  let down = false;
  const fleet = await startFleet(t, {
    engines: [ENGINE],
    budgetTokens: 1_000_000,
    table: { chooseFault: () => down ? CallFault.Down : CallFault.None },
  });
  t.is((await chat(fleet, "before")).outcome, "ran");
  down = true;
  t.is((await chat(fleet, "during", 1)).outcome, "ran");
  const refused = await callEntry({
    address: fleet.daemons[0]!.callerAddress,
    kind: "booking",
    requestKey: "during",
    body: {},
    deadlineMillis: 500,
  });
  t.is(refused.outcome, "not-run");
  t.is(refused.reason, "store-unavailable");
  t.is(fleet.services[0]!.readRuns().size, 0);
  down = false;
  t.is((await book(fleet, "during")).outcome, "ran");
  await fleet.stopDaemons();
  t.is((await listBillIdentities(fleet.table.table)).length, 3);
});

test("when every third store answer is lost, nothing runs or is billed twice", async (t) => {
  let writes = 0;
  const fleet = await startFleet(t, {
    engines: [ENGINE],
    budgetTokens: 100_000,
    table: {
      chooseFault: (call) =>
        call === "write" && ++writes % 3 === 0
          ? CallFault.AnswerLost
          : CallFault.None,
    },
  });
  const keys = Array.from({ length: 12 }, (_, index) => `lossy-${index}`);
  const answers = await Promise.all(keys.flatMap((key, index) => [
    book(fleet, key, index % 2),
    chat(fleet, key, (index + 1) % 2),
  ]));
  t.true(answers.every((answer) => answer.outcome === "ran"));
  for (const key of keys) t.is(fleet.services[0]!.readRuns().get(key), 1);
  await fleet.stopDaemons();
  const bills = await readBills(fleet.table.table);
  t.is(bills.length, 24);
  const budget = readTrialBudget(fleet.table.table);
  t.is(computeGranted(budget), 0);
  const billed = bills.reduce((sum, bill) => sum + bill.tokens, 0);
  t.is(budget.closed, billed);
});

test("a planned stop finishes requests in progress and refuses new ones", async (t) => {
  const slow = { answerTokens: 60, tokenDelay: 10 };
  const fleet = await startFleet(t, { vms: 1, engines: [slow] });
  const address = fleet.daemons[0]!.callerAddress;
  const running = chat(fleet, "drains");
  await waitUntil(() => fleet.engines[0]!.readCounts().requests === 1);
  const stopped = fleet.daemons[0]!.stop();
  const late = await callEntry({
    address,
    kind: "briefing",
    body: createChatBody("late"),
  });
  t.is(late.reason, "draining");
  t.is(late.outcome, "not-run");
  const answer = await running;
  t.is(readStreamText(answer.text), computeAnswer("drains", 60));
  await stopped;
  const budget = readTrialBudget(fleet.table.table);
  t.is(computeGranted(budget), 0);
  t.is((await listBillIdentities(fleet.table.table)).length, 1);
});

test("two VMs share a small budget until it is almost fully spent", async (t) => {
  // Each request reserves its upper bound and uses less; 30 of them fit in the
  // budget.
  const fleet = await startFleet(t, {
    engines: [ENGINE, ENGINE],
    budgetTokens: 3_000,
  });
  let ran = 0;
  for (let index = 0; index < 60; index++) {
    const answer = await chat(fleet, `q ${index}`, index % 2);
    if (answer.outcome === "ran") ran++;
    else t.is(answer.reason, "budget-spent");
  }
  await fleet.stopDaemons();
  const budget = readTrialBudget(fleet.table.table);
  t.true(budget.closed <= 3_000);
  const bound = 500;
  t.true(
    computeBudgetLeft(budget) < bound,
    `left ${computeBudgetLeft(budget)}`,
  );
  t.true(ran > 0);
});

test("a key of a customer that is not allowed in the event is refused", async (t) => {
  const fleet = await startFleet(t, { vms: 1 });
  const call = {
    address: fleet.daemons[0]!.callerAddress,
    kind: "booking",
    requestKey: "k",
    body: {},
  };
  const other = await callEntry({ ...call, customerKey: OTHER_CUSTOMER_KEY });
  t.is(other.reason, "customer-not-allowed");
  const wrong = await callEntry({ ...call, customerKey: "nobody" });
  t.is(wrong.reason, "bad-key");
  t.is(fleet.services[0]!.readRuns().size, 0);
});

test("a request that crashes targets is quarantined on all VMs after two crashes", async (t) => {
  const engine = { ...ENGINE, crashesOn: "poison" };
  const fleet = await startFleet(t, {
    engines: [engine, engine, engine, engine],
    budgetTokens: 100_000,
  });
  const first = await chat(fleet, "poison");
  t.not(first.outcome, "ran");
  // The quarantine identifies a body by its digest, so another request key or VM
  // makes no difference.
  for (const vm of [0, 1]) {
    const again = await callEntry({
      address: fleet.daemons[vm]!.callerAddress,
      kind: "briefing",
      requestKey: `again-${vm}`,
      body: createChatBody("poison"),
    });
    t.is(again.reason, "quarantined");
    t.is(again.outcome, "not-run");
  }
  const hit = fleet.engines.filter((each) => each.readCounts().requests > 0);
  t.is(hit.length, 2);
  t.is((await chat(fleet, "harmless", 1)).outcome, "ran");
});

test("a request that crashes targets during a drain does not lose other requests", async (t) => {
  const engine = { answerTokens: 60, tokenDelay: 10, crashesOn: "poison" };
  const fleet = await startFleet(t, {
    vms: 1,
    engines: [engine, engine, engine],
    budgetTokens: 100_000,
  });
  const texts = ["one", "two", "three", "four"];
  const running = texts.map((text) => chat(fleet, text));
  const poison = chat(fleet, "poison");
  await waitUntil(() =>
    fleet.engines.reduce((sum, each) => sum + each.readCounts().requests, 0) > 4
  );
  const stopped = fleet.daemons[0]!.stop();
  const answers = await Promise.all(running);
  for (const [index, answer] of answers.entries()) {
    t.is(readStreamText(answer.text), computeAnswer(texts[index]!, 60));
  }
  t.not((await poison).outcome, "ran");
  await stopped;
  t.is((await listBillIdentities(fleet.table.table)).length, texts.length);
});

test("when a target crashes while the store is down, the answer is still complete", async (t) => {
  let down = false;
  const slow = { answerTokens: ANSWER_TOKENS, tokenDelay: 10 };
  const fleet = await startFleet(t, {
    engines: [slow, slow],
    budgetTokens: 1_000_000,
    table: { chooseFault: () => down ? CallFault.Down : CallFault.None },
  });
  t.is((await chat(fleet, "before")).outcome, "ran");
  down = true;
  const running = chat(fleet, "during");
  const findBusyEngine = () =>
    fleet.engines.find((each) => {
      const { requests, completed, tokens } = each.readCounts();
      return requests > completed && tokens > 5;
    });
  await waitUntil(() => findBusyEngine() !== undefined);
  findBusyEngine()?.crash();
  const answer = await running;
  t.is(answer.outcome, "ran");
  t.is(readStreamText(answer.text), computeAnswer("during"));
  down = false;
  await fleet.stopDaemons();
  t.is((await listBillIdentities(fleet.table.table)).length, 2);
});
