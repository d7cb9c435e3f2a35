/** Tests of the report: number formats, missed goals and plots. */
import test from "ava";
import type { Experiment } from "./experiment.ts";
import { createAtLeastGoal, createAtMostGoal } from "./experiment.ts";
import { formatReport } from "./markdown.ts";
import { formatPlot } from "./plot.ts";
import { runExperiment } from "./result.ts";

const EXPERIMENT: Experiment = {
  name: "sample",
  description: "A sample.",
  quick: true,
  run: (options) =>
    Promise.resolve({
      tables: [{
        name: "t",
        title: "Sizes",
        columns: ["size", "time (ms)"],
        rows: [[1_200, 0.123456], ["all", options.seed]],
      }],
      goals: [
        createAtMostGoal("slow", { bound: 1, unit: "ms", value: 2 }),
        createAtLeastGoal("wide", { bound: 1, unit: "ms", value: 2 }),
      ],
    }),
};

test("a report shows the commit, the seed, the figures and each goal's status", async (t) => {
  const options = { seed: 42, quick: true, log: () => {} };
  const run = await runExperiment(EXPERIMENT, options);
  t.regex(run.commit, /^([0-9a-f]{40}|unknown)$/);
  const report = formatReport([run]);
  t.true(report.includes("| 1,200 | 0.1235 |"));
  t.true(report.includes("--only sample --seed 42 --quick"));
  t.true(report.includes("NOT REACHED: slow: 2 (goal: at most 1 ms)"));
  t.true(report.includes("- reached: wide"));
});

test("a plot is rendered as SVG with one line per series", async (t) => {
  const svg = await formatPlot({
    name: "p",
    title: "Slope",
    xTitle: "members",
    yTitle: "time",
    logX: true,
    points: [
      { series: "a", x: 8, y: 1 },
      { series: "a", x: 380, y: 2 },
      { series: "b", x: 8, y: 3 },
      { series: "b", x: 380, y: 4 },
    ],
  });
  t.true(svg.startsWith("<svg"));
  t.is(svg.match(/mark-line/g)?.length, 2);
});
