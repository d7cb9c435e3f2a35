/** `anvilrail serve`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import { type RunningDaemon, startDaemon } from "../../daemon/mod.ts";
import { ExitCode } from "../exit_code.ts";
import { formatInputErrors, readSettingsFile } from "../read_settings.ts";

interface ServeArguments {
  readonly settings: string;
}

/** Runs one entry VM until SIGTERM or SIGINT. */
export const serveCommand: CommandModule<unknown, ServeArguments> = {
  command: "serve",
  describe: "run one entry VM",
  builder: (parser) =>
    parser.option("settings", {
      type: "string",
      demandOption: true,
      describe: "settings file, JSON with comments",
    }),
  handler: async ({ settings: path }) => {
    const settings = readSettingsFile(path);
    if (settings.isLeft()) {
      console.error(formatInputErrors(settings.swap().unsafeCoerce()));
      process.exitCode = ExitCode.BadInput;
      return;
    }
    const daemon = await startDaemon(settings.unsafeCoerce());
    await waitForStop(daemon);
  },
};

/** The first signal starts a planned stop, the second hurries it. */
function waitForStop(daemon: RunningDaemon): Promise<void> {
  let signals = 0;
  const onSignal = () => {
    signals++;
    if (signals === 1) void daemon.stop();
    else daemon.forceStop();
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
  return daemon.waitForStop();
}
