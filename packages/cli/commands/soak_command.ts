/** The command `anvilrail soak`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import { formatSoakReport, runSoak } from "../../soak/mod.ts";
import { ExitCode } from "../exit_code.ts";

interface SoakArguments {
  readonly seed: number;
  readonly runs: number;
  readonly vms: number;
  readonly seconds: number;
}

/** Runs gateway processes with injected faults, one seed after the other. */
export const soakCommand: CommandModule<unknown, SoakArguments> = {
  command: "soak",
  describe:
    "run gateway processes with injected faults and check the guarantees",
  builder: (parser) =>
    parser
      .option("seed", {
        type: "number",
        default: 1,
        describe: "seed of the first run; each later run adds 1",
      })
      .option("runs", {
        type: "number",
        default: 1,
        describe: "number of runs",
      })
      .option("vms", {
        type: "number",
        default: 3,
        describe: "number of gateways",
      })
      .option("seconds", {
        type: "number",
        default: 20,
        describe: "time span in which faults are started",
      }),
  handler: async ({ seed, runs, vms, seconds }) => {
    // process.exit runs the exit handlers, which also end the gateways.
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.on(signal, () => process.exit(ExitCode.Failed));
    }
    for (let number = 0; number < runs; number++) {
      const report = await runSoak({
        seed: seed + number,
        vms,
        duration: seconds * 1_000,
      });
      console.log(formatSoakReport(report));
      const hasViolation = report.guarantees.some((each) =>
        each.failures.length > 0
      );
      if (hasViolation) process.exitCode = ExitCode.Failed;
    }
  },
};
