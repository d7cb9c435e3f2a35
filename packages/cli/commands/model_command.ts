/** The command `anvilrail model`: model-checks the core protocol. */
import process from "node:process";
import type { CommandModule } from "yargs";
import type { Guard, ModelReport } from "../../model/mod.ts";
import {
  DEFAULT_MAX_STATES,
  findGuard,
  formatModelReport,
  listGuards,
  runModelCheck,
} from "../../model/mod.ts";
import { ExitCode } from "../exit_code.ts";

interface ModelArguments {
  readonly list: boolean;
  readonly break?: string | undefined;
  readonly maxStates: number;
}

/** Explores the models with all guards, or with one guard disabled. */
export const modelCommand: CommandModule<object, ModelArguments> = {
  command: "model",
  describe: "Explore the protocol's specification and check its invariants",
  builder: (yargs) =>
    yargs
      .option("list", {
        type: "boolean",
        default: false,
        describe: "Print the guards, one per line, name first",
      })
      .option("break", {
        type: "string",
        describe: "Disable this guard; the check must then find a violation",
      })
      .option("maxStates", {
        type: "number",
        default: DEFAULT_MAX_STATES,
        describe: "Stop exploring a model after this many states",
      }),
  handler: (options) => {
    process.exitCode = runModelCommand(options);
  },
};

function runModelCommand(options: ModelArguments): ExitCode {
  if (options.list) return printGuards();
  if (options.break === undefined) return checkAllModels(options.maxStates);
  const guard = findGuard(options.break);
  if (guard === undefined) {
    console.error(
      `No guard is named ${options.break}. List the names with anvilrail model --list.`,
    );
    return ExitCode.BadInput;
  }
  return checkWithoutGuard(guard, options.maxStates);
}

function printGuards(): ExitCode {
  for (const { guard, models, rule } of listGuards()) {
    console.log(`${guard}  [${models.join(", ")}]  ${rule}`);
  }
  return ExitCode.Ok;
}

/** Returns Ok if every state space was exhausted without a violation. */
function checkAllModels(maxStates: number): ExitCode {
  const reports = runModelCheck({ maxStates });
  printReports(reports);
  return reports.every((report) => report.exhausted)
    ? ExitCode.Ok
    : ExitCode.Failed;
}

/** Returns Ok if every model that has the guard shows a violation without it. */
function checkWithoutGuard(breakGuard: Guard, maxStates: number): ExitCode {
  const reports = runModelCheck({ breakGuard, maxStates });
  printReports(reports);
  const found = reports.every((report) => report.violation !== undefined);
  if (found) return ExitCode.Ok;
  console.error(
    `No violation without ${breakGuard}: the guard is not needed, or the model does not show why. Correct the specification.`,
  );
  return ExitCode.Failed;
}

function printReports(reports: readonly ModelReport[]): void {
  for (const report of reports) console.log(formatModelReport(report));
}
