/** Tests of the exit codes and the output of the model and replay commands. */
import test from "ava";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import yargs from "yargs";
import { getTraceDirectory } from "../../replay/mod.ts";
import { ExitCode } from "../exit_code.ts";
import { modelCommand } from "./model_command.ts";
import { replayCommand } from "./replay_command.ts";

/** Runs a command line and returns what it printed and its exit code. */
async function runLine(...args: string[]) {
  const lines: string[] = [];
  const { log, error } = console;
  console.log = (line: string) => void lines.push(line);
  console.error = (line: string) => void lines.push(line);
  try {
    await yargs(args).command(modelCommand).command(replayCommand).strict()
      .parseAsync();
    return { text: lines.join("\n"), code: process.exitCode };
  } finally {
    console.log = log;
    console.error = error;
    process.exitCode = undefined;
  }
}

test.serial("model --list prints one guard per line, name first", async (t) => {
  const { text, code } = await runLine("model", "--list");
  t.is(code, ExitCode.Ok);
  const lines = text.split("\n");
  t.true(lines.length >= 30);
  for (const line of lines) t.regex(line, /^[a-z-]+ {2}\[[a-z, -]+\] {2}\S/);
});

test.serial("model --break prints the violated invariant and its trace, and succeeds", async (t) => {
  const { text, code } = await runLine("model", "--break", "debit-before-send");
  t.is(code, ExitCode.Ok);
  t.regex(text, /^violated: tokens-conserved\n {2}1\. /m);
});

test.serial("model --break with an unknown guard is refused with a remedy", async (t) => {
  const { text, code } = await runLine("model", "--break", "nothing");
  t.is(code, ExitCode.BadInput);
  t.regex(text, /--list/);
});

test.serial("model fails if a state space was not fully explored", async (t) => {
  const { text, code } = await runLine("model", "--max-states", "10");
  t.is(code, ExitCode.Failed);
  t.regex(text, /not exhausted/);
});

test.serial("replay succeeds on a matching trace and refuses invalid or missing ones", async (t) => {
  const good = join(getTraceDirectory(), "lease_lapses.jsonl");
  t.is((await runLine("replay", good)).code, ExitCode.Ok);
  const directory = mkdtempSync(join(tmpdir(), "anvilrail-replay-"));
  t.teardown(() => rmSync(directory, { recursive: true }));
  const bad = join(directory, "cut.jsonl");
  writeFileSync(bad, '{"format":"anvilrail-trace","version":9}');
  const refused = await runLine("replay", bad, good);
  t.is(refused.code, ExitCode.BadInput);
  t.regex(refused.text, /line 1: .*version 9/);
  t.is((await runLine("replay", "/nowhere")).code, ExitCode.BadInput);
});
