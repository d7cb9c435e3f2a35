/** `anvilrail model`: explores the specification of the core protocol. */
import type { CommandModule } from "yargs";
import {
  DEFAULT_MAX_STATES,
  findGuard,
  formatModelReport,
  type Guard,
  listGuards,
  type ModelReport,
  runModelCheck,
} from "../../model/mod.ts";

/** Options of the command. */
interface ModelArguments {
  readonly list: boolean;
  readonly break?: string | undefined;
  readonly maxStates: number;
}

/** Explores the models, whole or with one guard switched off. */
export const modelCommand: CommandModule<object, ModelArguments> = {
  command: "model",
  describe: "Explore the protocol's specification and check its invariants",
  builder: (yargs) =>
    yargs
      .option("list", {
        type: "boolean",
        default: false,
        describe: "Print a guard a line, its name first",
      })
      .option("break", {
        type: "string",
        describe: "Switch this guard off; the check must then find a violation",
      })
      .option("maxStates", {
        type: "number",
        default: DEFAULT_MAX_STATES,
        describe: "Give up on a model after this many states",
      }),
  handler: (options) => {
    process.exitCode = runModelCommand(options);
  },
};

function runModelCommand(options: ModelArguments): number {
  if (options.list) return printGuards();
  if (options.break === undefined) return checkWhole(options.maxStates);
  const guard = findGuard(options.break);
  if (guard === undefined) {
    console.error(
      `No guard is named ${options.break}. List the names with anvilrail model --list.`,
    );
    return 2;
  }
  return checkBroken(guard, options.maxStates);
}

function printGuards(): number {
  for (const { guard, models, rule } of listGuards()) {
    console.log(`${guard}  [${models.join(", ")}]  ${rule}`);
  }
  return 0;
}

/** Succeeds when every space was exhausted without a violation. */
function checkWhole(maxStates: number): number {
  const reports = runModelCheck({ maxStates });
  printReports(reports);
  return reports.every((report) => report.exhausted) ? 0 : 1;
}

/** Succeeds when every model that has the guard breaks without it. */
function checkBroken(breakGuard: Guard, maxStates: number): number {
  const reports = runModelCheck({ breakGuard, maxStates });
  printReports(reports);
  const found = reports.every((report) => report.violation !== undefined);
  if (found) return 0;
  console.error(
    `No violation without ${breakGuard}: the guard is not needed, or the model does not show why. Correct the specification.`,
  );
  return 1;
}

function printReports(reports: readonly ModelReport[]): void {
  for (const report of reports) console.log(formatModelReport(report));
}
