/** The command `anvilrail replay`. */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { CommandModule } from "yargs";
import {
  formatReplayError,
  formatReplayReport,
  listTraces,
  replayTrace,
} from "../../replay/mod.ts";
import { ExitCode } from "../exit_code.ts";

interface ReplayArguments {
  readonly files?: readonly string[] | undefined;
}

/** Replays the given traces, or those of the repository if none is given. */
export const replayCommand: CommandModule<object, ReplayArguments> = {
  command: "replay [files..]",
  describe: "Replay recorded traces and compare with their expected outcomes",
  builder: (yargs) =>
    yargs.positional("files", {
      type: "string",
      array: true,
      describe: "Trace files (default: those in packages/replay/traces)",
    }),
  handler: async ({ files = [] }) => {
    const paths = files.length > 0 ? files : listTraces();
    let worst = ExitCode.Ok;
    for (const path of paths) worst = Math.max(worst, await replayFile(path));
    process.exitCode = worst;
  },
};

async function replayFile(path: string): Promise<ExitCode> {
  const text = readTrace(path);
  if (text === undefined) return ExitCode.BadInput;
  const replayed = await replayTrace(text);
  return replayed.caseOf({
    Left: (error) => {
      console.error(`${path}: ${formatReplayError(error)}`);
      return ExitCode.BadInput;
    },
    Right: (report) => {
      console.log(formatReplayReport(report));
      return report.difference === undefined ? ExitCode.Ok : ExitCode.Failed;
    },
  });
}

function readTrace(path: string): string | undefined {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    console.error(`${path} cannot be read: ${reason}. Check the path.`);
    return undefined;
  }
}
