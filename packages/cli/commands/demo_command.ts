/** The command `anvilrail demo`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import { runDemo } from "../demo/run_demo.ts";
import { ExitCode } from "../exit_code.ts";

/** Starts a small fleet, sends requests and checks the guarantees. */
export const demoCommand: CommandModule = {
  command: "demo",
  describe:
    "run a small fleet with stand-ins in one process and check its guarantees",
  handler: async () => {
    const held = await runDemo((line) => console.log(line));
    process.exitCode = held ? ExitCode.Ok : ExitCode.Failed;
  },
};
