/**
 * Checks that names of the platform's wire protocol are used only in its adapter
 * in `platform/`, and nowhere in `packages/`.
 *
 * Usage: `node dist/tools/check_wire_names.js`; exits with 1 if one is found.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Names of fields, calls, headers and variables that the adapter translates. */
const WIRE_NAMES = [
  "trafficSplit",
  "targetLatencyMs",
  "gapAimMs",
  "canResume",
  "allowedRegions",
  "apiKeys",
  "healthPath",
  "coldRemainingMs",
  "kvCapacityTokens",
  "kvTokenBytes",
  "rowVersion",
  "expectRev",
  "hasMore",
  "waitMs",
  "rows-tx",
  "rows-get",
  "rows-feed",
  "rows-parts",
  "blob-put",
  "blob-get",
  "kv-from",
  "kv-fetch",
  "Replica-Seal",
  "Replica-Load",
  "Expect-Replica",
  "Not-Executed",
  "Token-Usage",
  "Prompt-Prefix",
  "ANVILRAIL_BOOT",
  "seedAddrs",
  "portRange",
];

function listSources(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return listSources(path);
    return path.endsWith(".ts") ? [path] : [];
  });
}

const found = listSources("packages").flatMap((file) => {
  const text = readFileSync(file, "utf8").toLowerCase();
  return WIRE_NAMES
    .filter((name) => text.includes(name.toLowerCase()))
    .map((name) => `${file}: ${name}`);
});
for (const each of found) {
  console.error(
    `${each}: this name may be used only in the adapter in platform/`,
  );
}
console.log(`${found.length} wire names outside the adapter`);
process.exitCode = found.length === 0 ? 0 : 1;
