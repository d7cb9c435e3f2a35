/** Formats the results of experiment runs as a Markdown report. */
import type { FigureTable, Goal } from "./experiment.ts";
import type { ExperimentRun } from "./result.ts";

const SIGNIFICANT_DIGITS = 4;

/** Returns the file name of a plot, relative to the report. */
export function formatPlotName(run: ExperimentRun, plot: string): string {
  return `${run.experiment}-${plot}.svg`;
}

/** Returns the Markdown report of some runs. */
export function formatReport(runs: readonly ExperimentRun[]): string {
  return ["# Experiments", ...runs.flatMap(formatRun), ""].join("\n\n");
}

/**
 * Formats a figure for display: digits grouped by thousands, and fractions
 * rounded to four significant digits.
 */
export function formatFigure(value: string | number): string {
  if (typeof value === "string") return value;
  if (Number.isInteger(value)) return value.toLocaleString("en-GB");
  const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return rounded.toLocaleString("en-GB", {
    maximumSignificantDigits: SIGNIFICANT_DIGITS,
  });
}

/** Formats a goal and whether it was reached as one line. */
export function formatGoal(goal: Goal): string {
  const status = goal.reached ? "reached" : "NOT REACHED";
  const value = formatFigure(goal.value);
  return `${status}: ${goal.name}: ${value} (goal: ${goal.bound})`;
}

function formatRun(run: ExperimentRun): string[] {
  const { machine, figures } = run;
  const { goals = [], plots = [], notes = [] } = figures;
  const command = `anvilrail bench --only ${run.experiment} --seed ${run.seed}${
    run.quick ? " --quick" : ""
  }`;
  return [
    `## ${run.experiment}`,
    run.description,
    `Command: \`${command}\`; commit ${run.commit}; ${run.startedAt}; ${
      formatFigure(run.seconds)
    } s; ${machine.processor}, ${machine.cores} cores, ${machine.memoryMib} MiB, ${machine.system}, Node.js ${machine.node}, load ${
      formatFigure(machine.load)
    } at the start.`,
    ...figures.tables.flatMap(formatTable),
    ...plots.map((plot) =>
      `![${plot.title}](${formatPlotName(run, plot.name)})`
    ),
    ...(goals.length === 0
      ? []
      : [goals.map((goal) => `- ${formatGoal(goal)}`).join("\n")]),
    ...notes,
  ];
}

function formatTable(table: FigureTable): string[] {
  const rows = [
    table.columns,
    table.columns.map(() => "---"),
    ...table.rows.map((row) => row.map(formatFigure)),
  ];
  return [
    `**${table.title}**`,
    rows.map((cells) => `| ${cells.join(" | ")} |`).join("\n"),
  ];
}
