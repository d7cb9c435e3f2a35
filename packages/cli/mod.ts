/** The command line. */
import yargs from "yargs";

/** Runs one command line and returns the exit code. */
export async function runCommandLine(args: readonly string[]): Promise<number> {
  await yargs(args).scriptName("anvilrail").help().strict().parseAsync();
  return 0;
}
