/**
 * Command line with only the `gateway` command: loading the modules of the other
 * commands would delay the start.
 */
import process from "node:process";
import yargs from "yargs";
import { gatewayCommand } from "./commands/gateway_command.ts";

/** Parses the command line of the process and runs its command. */
export async function runGatewayProgram(): Promise<void> {
  await yargs(process.argv.slice(2))
    .scriptName("anvilrail")
    .command(gatewayCommand)
    .demandCommand(1)
    .strict()
    .help()
    .parseAsync();
}
