/**
 * Finds the traces of the repository, `packages/replay/traces/*.jsonl`. They
 * are not copied to `dist/`, so their directory is computed relative to this
 * module, whether it runs from the sources or from `dist/`.
 */
import { readdirSync } from "node:fs";
import { sep } from "node:path";
import { fileURLToPath } from "node:url";

const SOURCE_DIRECTORY = "packages/replay/traces/";

const COMPILED = `${sep}dist${sep}packages${sep}replay${sep}`;

/**
 * Returns the path of the directory with the traces, with a slash at the end.
 */
export function getTraceDirectory(): string {
  const here = fileURLToPath(import.meta.url);
  const toRoot = here.includes(COMPILED) ? "../../../" : "../../";
  return fileURLToPath(new URL(toRoot + SOURCE_DIRECTORY, import.meta.url));
}

/** Returns the paths of all traces of the repository, sorted by name. */
export function listTraces(): string[] {
  const directory = getTraceDirectory();
  return readdirSync(directory)
    .filter((name) => name.endsWith(".jsonl"))
    .sort()
    .map((name) => directory + name);
}
