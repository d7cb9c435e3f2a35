/** Tests that the specification holds whole and breaks without each guard. */
import test from "ava";
import type { ModelReport } from "./mod.ts";
import {
  formatModelReport,
  listGuards,
  listModels,
  runModelCheck,
} from "./mod.ts";

test("every model is explored whole and holds", (t) => {
  for (const report of runModelCheck()) {
    t.log(formatModelReport(report));
    t.true(report.exhausted, formatModelReport(report));
  }
});

test("every guard is needed in each model that has it", (t) => {
  for (const { guard } of listGuards()) {
    for (const report of runModelCheck({ breakGuard: guard })) {
      const text = `${guard}: ${formatModelReport(report)}`;
      t.truthy(report.violation, text);
      t.false(report.exhausted, text);
    }
  }
});

test("every guard and invariant has a name of its own", (t) => {
  for (const model of listModels()) {
    t.is(new Set(model.guards).size, model.guards.length);
    t.is(new Set(model.invariants).size, model.invariants.length);
  }
});

test("a bound on states is said not to be exhausted", (t) => {
  const reports = runModelCheck({ maxStates: 20 });
  for (const report of reports) {
    t.false(report.exhausted);
    t.is(report.states, 20);
  }
});

test("a violation is printed with its numbered trace", (t) => {
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
