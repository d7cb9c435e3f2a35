/**
 * Decides whether the failed tests of a run are all listed in `KNOWN-RED.txt`,
 * and prints them.
 *
 * Usage: `node dist/tools/check_known_red.js LOG`, where LOG has the output of
 * `npm test`; exits 1 if a test failed that is not listed, or if the run ended
 * in another way than by failed tests.
 */
import { existsSync, readFileSync } from "node:fs";
import { argv } from "node:process";
import { stripVTControlCharacters } from "node:util";

const KNOWN_RED = "KNOWN-RED.txt";
const LISTED = /^test: (.+)$/gm;
const FAILED = /^ *✘ \[fail\]: (.+?)(?: Rejected promise returned by test)?$/gm;
const FAILED_COUNT = /^ *(\d+) tests? failed$/m;
/** What ava prints when a run failed otherwise than by a failed test. */
const OTHER_FAILURE =
  /uncaught exception|unhandled rejection|timed out|✘ (?!\[fail\])/;

function listMatches(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map((match) => match[1] ?? "");
}

const log = stripVTControlCharacters(readFileSync(argv[2] ?? "", "utf8"));
const listed = existsSync(KNOWN_RED)
  ? listMatches(readFileSync(KNOWN_RED, "utf8"), LISTED)
  : [];
const failed = listMatches(log, FAILED);
const unlisted = failed.filter((name) => !listed.includes(name));
const isExplained = failed.length > 0 && unlisted.length === 0 &&
  FAILED_COUNT.exec(log)?.[1] === String(failed.length) &&
  !OTHER_FAILURE.test(log);
for (const name of failed) {
  const state = unlisted.includes(name) ? "NOT LISTED" : "listed";
  console.log(`${state} in ${KNOWN_RED}: ${name}`);
}
console.log(
  isExplained
    ? "all failed tests are listed"
    : "the run failed for a reason that is not listed",
);
process.exitCode = isExplained ? 0 : 1;
