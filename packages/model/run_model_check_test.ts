/**
 * Tests that the models satisfy their invariants, and that switching off any
 * guard leads to a violation.
 */
import test from "ava";
import type { ModelReport } from "./mod.ts";
import {
  formatModelReport,
  listGuards,
  listModels,
  runModelCheck,
} from "./mod.ts";

test("every model is explored exhaustively without a violation", (t) => {
  for (const report of runModelCheck()) {
    t.log(formatModelReport(report));
    t.true(report.exhausted, formatModelReport(report));
  }
});

test("each model that uses a guard violates an invariant without it", (t) => {
  for (const { guard } of listGuards()) {
    for (const report of runModelCheck({ breakGuard: guard })) {
      const text = `${guard}: ${formatModelReport(report)}`;
      t.truthy(report.violation, text);
      t.false(report.exhausted, text);
    }
  }
});

test("no model lists a guard or an invariant twice", (t) => {
  for (const model of listModels()) {
    t.is(new Set(model.guards).size, model.guards.length);
    t.is(new Set(model.invariants).size, model.invariants.length);
  }
});

test("an exploration that stops at the state limit is not exhausted", (t) => {
  const reports = runModelCheck({ maxStates: 20 });
  for (const report of reports) {
    t.false(report.exhausted);
    t.is(report.states, 20);
  }
});

test("a violation is formatted with its numbered trace", (t) => {
  const report: ModelReport = {
    model: "m",
    states: 3,
    transitions: 4,
    depth: 2,
    millis: 1.4,
    exhausted: false,
    violation: { invariant: "never-overspent" as never, trace: ["a", "b"] },
  };
  t.is(
    formatModelReport(report),
    "m: states=3 transitions=4 depth=2 time=1ms not exhausted\nviolated: never-overspent\n  1. a\n  2. b",
  );
});
