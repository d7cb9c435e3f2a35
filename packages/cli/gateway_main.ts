/**
 * Entry point with only the `gateway` command: loading the modules of the other
 * commands would delay the start.
 */
import process from "node:process";
import yargs from "yargs";
import { gatewayCommand } from "./commands/gateway_command.ts";

void yargs(process.argv.slice(2))
  .scriptName("anvilrail")
  .command(gatewayCommand)
  .demandCommand(1)
  .strict()
  .help()
  .parseAsync();
