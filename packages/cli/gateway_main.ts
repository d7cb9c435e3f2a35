/** Starts a gateway without the other commands, whose modules take time to load. */
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
