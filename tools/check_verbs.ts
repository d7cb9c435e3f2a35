/**
 * Checks that the name of every exported function begins with a verb from the
 * list in docs/STYLE.md.
 *
 * Usage: `node dist/tools/check_verbs.js`; exits with 1 if a name does not.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const STYLE_PAGE = "docs/STYLE.md";
const EXPORTED = /^export (?:async )?function\*? (\w+)/gm;
const VERB_ROW = /^\| (`[^|]+`) +\|/gm;

function listSources(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return listSources(path);
    const code = path.endsWith(".ts") && !path.endsWith(".d.ts");
    return code && !path.endsWith("_test.ts") ? [path] : [];
  });
}

function readVerbs(): ReadonlySet<string> {
  const page = readFileSync(STYLE_PAGE, "utf8");
  const rows = [...page.matchAll(VERB_ROW)].map((match) => match[1] ?? "");
  return new Set(rows.flatMap((row) => row.match(/[a-z]+/g) ?? []));
}

function findBadNames(verbs: ReadonlySet<string>): string[] {
  const sources = ["packages", "platform"].flatMap(listSources);
  return sources.flatMap((file) =>
    [...readFileSync(file, "utf8").matchAll(EXPORTED)]
      .map((match) => match[1] ?? "")
      .filter((name) => !verbs.has(/^[a-z]+/.exec(name)?.[0] ?? ""))
      .map((name) => `${file}: ${name}`)
  );
}

const badNames = findBadNames(readVerbs());
for (const each of badNames) {
  console.error(
    `${each} does not begin with a verb that is listed in ${STYLE_PAGE}`,
  );
}
console.log(`${badNames.length} names that do not begin with a listed verb`);
process.exitCode = badNames.length === 0 ? 0 : 1;
