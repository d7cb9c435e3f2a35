/** The command `anvilrail explain`. */
import { createReadStream, existsSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import type { CommandModule } from "yargs";
import {
  findRequestTimeline,
  formatTimeline,
  type LogLine,
  parseLogLine,
} from "../../explain/mod.ts";
import { ExitCode } from "../exit_code.ts";

interface ExplainArguments {
  readonly request: string;
  readonly files: readonly string[];
}

/** Prints the timeline of one request from log files of any number of VMs. */
export const explainCommand: CommandModule<unknown, ExplainArguments> = {
  command: "explain <request> <files..>",
  describe: "show the timeline of one request from log files",
  builder: (parser) =>
    parser
      .positional("request", {
        type: "string",
        demandOption: true,
        describe: "the request's id",
      })
      .positional("files", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "log files of every VM that may have handled the request",
      }),
  handler: async ({ request, files }) => {
    const missing = files.filter((file) => !existsSync(file));
    if (missing.length > 0) {
      console.error(`There is no file ${missing.join(", ")}. Check the names.`);
      process.exitCode = ExitCode.BadInput;
      return;
    }
    const lines: LogLine[] = [];
    let skippedLines = 0;
    for (const file of files) {
      const reader = createInterface({ input: createReadStream(file) });
      for await (const text of reader) {
        const line = parseLogLine(text, file);
        if (line !== undefined) lines.push(line);
        else if (text.trim() !== "") skippedLines++;
      }
    }
    const timeline = findRequestTimeline(lines, request);
    if (skippedLines > 0) {
      console.error(`Skipped ${skippedLines} lines that are not log lines.`);
    }
    if (timeline.requestEntries.length > 0) {
      console.log(formatTimeline(timeline));
      return;
    }
    console.error(
      `None of the ${lines.length} log lines names the request ${request}. Check that the files cover its time and its VM, and whether a lines_left_out event reports dropped lines.`,
    );
    process.exitCode = ExitCode.BadInput;
  },
};
