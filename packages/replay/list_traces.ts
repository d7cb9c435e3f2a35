/**
 * Finds the traces of the repository. They stay beside their sources and are
 * not compiled: `packages/replay/traces/*.jsonl`, looked up from this module's
 * place, whether it runs from the sources or from `dist/`.
 */
import { readdirSync } from "node:fs";
import { sep } from "node:path";
import { fileURLToPath } from "node:url";

const SOURCE_DIRECTORY = "packages/replay/traces/";

const COMPILED = `${sep}dist${sep}packages${sep}replay${sep}`;

/** Returns the path of the directory with the traces. */
export function getTraceDirectory(): string {
  const here = fileURLToPath(import.meta.url);
  const toRoot = here.includes(COMPILED) ? "../../../" : "../../";
  return fileURLToPath(new URL(toRoot + SOURCE_DIRECTORY, import.meta.url));
}

/** Returns the paths of all recorded traces, sorted by name. */
export function listTraces(): string[] {
  const directory = getTraceDirectory();
  return readdirSync(directory)
    .filter((name) => name.endsWith(".jsonl"))
    .sort()
    .map((name) => directory + name);
}
