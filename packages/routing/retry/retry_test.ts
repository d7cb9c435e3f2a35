/** Tests of retries, the retry budget and hedged attempts. */
import test from "ava";
import { Repeatability, RequestOutcome, ServiceType } from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import {
  decideHedge,
  decideRetry,
  ExtraAttempt,
  type FailedAttempt,
  FirstByteTimes,
  RetryAction,
  RetryBudgets,
} from "../mod.ts";
import { createRandom } from "../test_fleet.ts";

function decide(
  options: Partial<FailedAttempt>,
  budgets = new RetryBudgets(),
  now = 0,
) {
  const failed: FailedAttempt = {
    service: "engine",
    repeatability: Repeatability.Repeatable,
    end: AttemptEnd.Broken,
    lost: false,
    mayHaveRun: false,
    attempts: 1,
    replacements: 0,
    passedOn: 0,
    resumable: false,
    quarantined: false,
    deadline: 10_000,
    ...options,
  };
  return decideRetry(failed, { budgets, now, random: () => 0.5 });
}

function exhaust(budgets: RetryBudgets): void {
  const extra = ExtraAttempt.Retry;
  while (budgets.covers("engine", { extra, now: 0 })) {
    budgets.recordExtraAttempt("engine", ExtraAttempt.Retry);
  }
}

test("a call that must not be repeated is retried only if no attempt reached a target", (t) => {
  const repeatability = Repeatability.Once;
  for (const end of [AttemptEnd.NotSent, AttemptEnd.Refused]) {
    t.is(decide({ repeatability, end }).action, RetryAction.Retry);
  }
  const broken = decide({ repeatability, end: AttemptEnd.Broken });
  t.like(broken, {
    action: RetryAction.GiveUp,
    outcome: RequestOutcome.Unknown,
  });
  const earlier = { mayHaveRun: true, end: AttemptEnd.NotSent };
  t.like(decide({ repeatability, ...earlier }), {
    action: RetryAction.GiveUp,
    outcome: RequestOutcome.Unknown,
  });
});

test("a request that was never sent is given up with the outcome not run", (t) => {
  const late = decide({ end: AttemptEnd.NotSent, deadline: 0 });
  t.like(late, { action: RetryAction.GiveUp, outcome: RequestOutcome.NotRun });
});

test("an answer that was partly sent is resumed or given up, never restarted", (t) => {
  t.is(decide({ passedOn: 3 }).action, RetryAction.GiveUp);
  const resumed = decide({ passedOn: 3, resumable: true });
  t.like(resumed, { action: RetryAction.Retry, resumeAt: 3 });
});

test("in a brown-out that fails every attempt, retries add at most the retry ratio to the load", (t) => {
  const budgets = new RetryBudgets();
  let attempts = 0;
  const requests = 2_000;
  for (let index = 0; index < requests; index++) {
    budgets.recordFirstAttempt("engine", 0.1);
    attempts++;
    if (decide({}, budgets).action !== RetryAction.Retry) continue;
    budgets.recordExtraAttempt("engine", ExtraAttempt.Retry);
    attempts++;
  }
  t.true(attempts / requests <= 1.1 + 0.001, String(attempts / requests));
  t.true(attempts / requests > 1.09);
});

test("a request that was never sent is retried at once without using the budget", (t) => {
  const budgets = new RetryBudgets();
  exhaust(budgets);
  const unsent = { end: AttemptEnd.NotSent };
  t.like(decide(unsent, budgets), { action: RetryAction.Retry, after: 0 });
});

test("without budget a retry waits, and is given up only at the deadline", (t) => {
  const budgets = new RetryBudgets();
  exhaust(budgets);
  t.is(decide({}, budgets).action, RetryAction.Wait);
  t.is(decide({ deadline: 200 }, budgets).action, RetryAction.GiveUp);
});

test("a service without traffic earns one retry every five seconds and no more", (t) => {
  const budgets = new RetryBudgets();
  exhaust(budgets);
  t.is(decide({}, budgets, 4_900).action, RetryAction.Wait);
  t.is(decide({}, budgets, 5_000).action, RetryAction.Retry);
  budgets.recordExtraAttempt("engine", ExtraAttempt.Retry);
  t.is(decide({}, budgets, 5_001).action, RetryAction.Wait);
  let retries = 0;
  const deadline = 200_000;
  for (let now = 5_001; now <= 105_001; now += 100) {
    if (decide({ deadline }, budgets, now).action !== RetryAction.Retry) {
      continue;
    }
    budgets.recordExtraAttempt("engine", ExtraAttempt.Retry);
    retries++;
  }
  t.true(retries >= 19 && retries <= 20, String(retries));
});

test("work that was lost with its target is replaced at once, at most twice for a request", (t) => {
  const budgets = new RetryBudgets();
  exhaust(budgets);
  const replaced = decide({ lost: true }, budgets);
  t.like(replaced, {
    action: RetryAction.Retry,
    after: 0,
    extra: ExtraAttempt.Replacement,
  });
  const third = decide({ lost: true, replacements: 2 }, budgets);
  t.is(third.action, RetryAction.Wait);
});

test("a quarantined or cancelled request is not retried", (t) => {
  t.is(decide({ quarantined: true }).action, RetryAction.GiveUp);
  t.is(decide({ end: AttemptEnd.Cancelled }).action, RetryAction.GiveUp);
});

test("only repeatable calls of plain services are hedged, after the 95th percentile and within the budget", (t) => {
  const budgets = new RetryBudgets();
  const times = new FirstByteTimes();
  const call = {
    service: "engine",
    serviceType: ServiceType.PlainService,
    repeatability: Repeatability.Repeatable,
    startedAt: 1_000,
    hedged: false,
  };
  const options = { budgets, times, now: 1_000 };
  t.is(decideHedge(call, options), undefined);
  const random = createRandom();
  for (let index = 0; index < 500; index++) {
    times.record("engine", 100 * random(), 1_000);
  }
  const at = decideHedge(call, options) ?? 0;
  t.true(at > 1_090 && at <= 1_100, String(at));
  const once = { ...call, repeatability: Repeatability.Once };
  t.is(decideHedge(once, options), undefined);
  const engine = { ...call, serviceType: ServiceType.ModelEngine };
  t.is(decideHedge(engine, options), undefined);
  exhaust(budgets);
  t.is(decideHedge(call, options), undefined);
});
