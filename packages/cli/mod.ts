/** Command line of anvilrail: registers all commands. */
import process from "node:process";
import yargs from "yargs";
import { benchCommand } from "./commands/bench_command.ts";
import { checkCommand } from "./commands/check_command.ts";
import { demoCommand } from "./commands/demo_command.ts";
import { documentCommand } from "./commands/document_command.ts";
import { explainCommand } from "./commands/explain_command.ts";
import {
  budgetCommand,
  dumpCommand,
  eventCommand,
  keyCommand,
  membersCommand,
  quarantineCommand,
  topUpCommand,
  writeOffCommand,
} from "./commands/fleet_commands.ts";
import { gatewayCommand } from "./commands/gateway_command.ts";
import { modelCommand } from "./commands/model_command.ts";
import { replayCommand } from "./commands/replay_command.ts";
import { serveCommand } from "./commands/serve_command.ts";
import { soakCommand } from "./commands/soak_command.ts";
import { standInCommand } from "./commands/stand_in_command.ts";
import { ExitCode } from "./exit_code.ts";

/** Parses a command line, runs its command and returns the exit code. */
export async function runCommandLine(args: readonly string[]): Promise<number> {
  await yargs([...args])
    .scriptName("anvilrail")
    .usage("$0 COMMAND\n\nA router fleet for prepaid token budgets.")
    .command(serveCommand)
    .command(gatewayCommand)
    .command(explainCommand)
    .command(checkCommand)
    .command(demoCommand)
    .command(standInCommand)
    .command(documentCommand)
    .command(eventCommand)
    .command(budgetCommand)
    .command(topUpCommand)
    .command(writeOffCommand)
    .command(membersCommand)
    .command(quarantineCommand)
    .command(dumpCommand)
    .command(keyCommand)
    .command(modelCommand)
    .command(replayCommand)
    .command(benchCommand)
    .command(soakCommand)
    .demandCommand(1, "Name a command; --help lists them.")
    .recommendCommands()
    .completion("completion", "print a completion script for the shell")
    .strict()
    .help()
    .exitProcess(false)
    .fail((message, error) => reportUsageError(message, error))
    .parseAsync();
  return Number(process.exitCode ?? ExitCode.Ok);
}

/**
 * Prints a usage error and sets the exit code. yargs reports every error of a
 * command line; only the first one is printed.
 */
function reportUsageError(message: string | null, error?: Error): void {
  if (error !== undefined && message === null) throw error;
  if (process.exitCode === ExitCode.BadInput) return;
  process.exitCode = ExitCode.BadInput;
  console.error(`${message ?? ""}\nanvilrail --help lists the commands.`);
}
