/** `anvilrail demo`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import { runDemo } from "../demo/run_demo.ts";
import { ExitCode } from "../exit_code.ts";

/** Starts a small fleet, sends requests and checks the promises. */
export const demoCommand: CommandModule = {
  command: "demo",
  describe: "show the whole path on stand-ins in one process",
  handler: async () => {
    const held = await runDemo((line) => console.log(line));
    process.exitCode = held ? ExitCode.Ok : ExitCode.Failed;
  },
};
