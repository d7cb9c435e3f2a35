/** The command `anvilrail bench`. */
import Table from "cli-table3";
import type { Argv, CommandModule } from "yargs";
import {
  type Experiment,
  type ExperimentRun,
  EXPERIMENTS,
  formatFigure,
  formatGoal,
  runExperiment,
  writeReports,
} from "../../bench/mod.ts";

interface BenchArguments {
  readonly list: boolean;
  readonly quick: boolean;
  readonly only: readonly string[];
  readonly seed: number;
  readonly out: string;
}

/** Runs experiments, prints their figures and writes reports. */
export const benchCommand: CommandModule<unknown, BenchArguments> = {
  command: "bench",
  describe: "Run experiments; write figures, a report and plots",
  builder: addBenchOptions,
  handler: runBench,
};

function addBenchOptions(yargs: Argv<unknown>): Argv<BenchArguments> {
  return yargs
    .option("list", {
      type: "boolean",
      default: false,
      describe: "List the experiments and exit",
    })
    .option("quick", {
      type: "boolean",
      default: false,
      describe: "Run the small version of the quick experiments",
    })
    .option("only", {
      type: "string",
      array: true,
      default: [] as string[],
      describe: "Run only the experiments with these names",
    })
    .option("seed", {
      type: "number",
      default: 1,
      describe: "Seed of the random number generators",
    })
    .option("out", {
      type: "string",
      default: "bench_out",
      describe: "Directory for the results",
    });
}

async function runBench(args: BenchArguments): Promise<void> {
  if (args.list) return listExperiments();
  const chosen = chooseExperiments(args);
  const runs: ExperimentRun[] = [];
  for (const experiment of chosen) {
    console.log(`running ${experiment.name}`);
    const run = await runExperiment(experiment, {
      seed: args.seed,
      quick: args.quick,
      log: (line) => console.log(`  ${line}`),
    });
    runs.push(run);
    printRun(run);
  }
  await writeReports(runs, args.out);
  console.log(`results are in ${args.out}`);
}

function listExperiments(): void {
  for (const { name, quick, description } of EXPERIMENTS) {
    console.log(`${name}\t${quick ? "quick" : "full"}\t${description}`);
  }
}

function chooseExperiments(args: BenchArguments): readonly Experiment[] {
  const { only, quick } = args;
  const names = EXPERIMENTS.map((each) => each.name);
  const unknown = only.filter((name) => !names.includes(name));
  if (unknown.length > 0) {
    throw new Error(
      `There is no experiment ${unknown.join(", ")}. See them with --list.`,
    );
  }
  return EXPERIMENTS.filter(({ name, quick: isQuick }) =>
    only.length > 0 ? only.includes(name) : isQuick || !quick
  );
}

function printRun(run: ExperimentRun): void {
  for (const { title, columns, rows } of run.figures.tables) {
    const table = new Table({
      head: [...columns],
      style: { head: [], border: [], compact: true },
    });
    table.push(...rows.map((row) => row.map(formatFigure)));
    console.log(`${title}\n${table.toString()}`);
  }
  for (const goal of run.figures.goals ?? []) console.log(formatGoal(goal));
  for (const note of run.figures.notes ?? []) console.log(note);
  console.log(`${run.experiment} took ${formatFigure(run.seconds)} s`);
}
