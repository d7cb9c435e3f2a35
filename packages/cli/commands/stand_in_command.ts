/** The command `anvilrail stand-in`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import {
  type RunningServer,
  startEngineServer,
  startObjectServer,
  startPlainServer,
  startTableServer,
  startVmListServer,
} from "../../stand_ins/mod.ts";

/** External systems that have a stand-in. */
enum StandInName {
  Table = "table",
  Objects = "objects",
  VmList = "vm-list",
  Engine = "engine",
  Service = "service",
}

interface StandInArguments {
  readonly name: StandInName;
  readonly port: number;
}

const STARTERS: Readonly<
  Record<StandInName, (port: number) => Promise<RunningServer>>
> = {
  [StandInName.Table]: (port) => startTableServer({ port }),
  [StandInName.Objects]: (port) => startObjectServer({ port }),
  [StandInName.VmList]: (port) => startVmListServer({ port }),
  [StandInName.Engine]: (port) => startEngineServer({ port }),
  [StandInName.Service]: (port) => startPlainServer({ port }),
};

/** Runs a stand-in for an external system until SIGTERM or SIGINT. */
export const standInCommand: CommandModule<unknown, StandInArguments> = {
  command: "stand-in <name>",
  describe: "run a stand-in for an external system, for trials",
  builder: (parser) =>
    parser
      .positional("name", {
        choices: Object.values(StandInName),
        demandOption: true,
      })
      .option("port", {
        type: "number",
        default: 0,
        describe: "port on the loopback interface; 0 picks a free port",
      }),
  handler: async ({ name, port }) => {
    const server = await STARTERS[name](port);
    console.log(`stand-in=${name} url=${server.url}`);
    await new Promise<void>((resolve) => {
      process.once("SIGTERM", resolve);
      process.once("SIGINT", resolve);
    });
    await server.stop();
  },
};
