/**
 * Checks the imports between packages: another package is reached only through
 * its `mod.ts`, and only in the direction of the layers.
 *
 * Usage: `node dist/tools/check_imports.js`; exits 1 when an import breaks a rule.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";

/** What each package may import besides itself. */
const LAYERS: Readonly<Record<string, readonly string[]>> = {
  core: [],
  runtime: ["core"],
  settings: ["core"],
  ports: ["core"],
  budget: ["core"],
  request: ["core"],
  routing: ["core", "ports"],
  document: ["core"],
  membership: ["core"],
  admin: ["core", "budget", "request", "document", "membership", "routing"],
  peer: ["core", "ports"],
  stand_ins: ["core", "ports"],
  model: ["core"],
  replay: [
    "core",
    "ports",
    "budget",
    "request",
    "routing",
    "document",
    "membership",
  ],
  daemon: [
    "runtime",
    "core",
    "settings",
    "ports",
    "budget",
    "request",
    "routing",
    "document",
    "membership",
    "admin",
    "peer",
  ],
  trial: [
    "core",
    "settings",
    "budget",
    "request",
    "document",
    "stand_ins",
    "daemon",
  ],
  bench: ["*"],
  cli: ["*"],
};

/** Tests may also use these packages. */
const TEST_PACKAGES = [
  "trial",
  "stand_ins",
  "model",
  "daemon",
  "ports",
  "bench",
];

const PACKAGES = resolve("packages");
const IMPORT = /(?:from|import)\s+"(\.[^"]+)"/g;

/** One import that breaks a rule. */
interface BrokenImport {
  readonly file: string;
  readonly target: string;
  readonly reason: string;
}

function listSources(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return listSources(path);
    return path.endsWith(".ts") ? [path] : [];
  });
}

function checkImport(file: string, specifier: string): string | undefined {
  const from = relative(PACKAGES, file).split("/")[0] ?? "";
  const path = relative(PACKAGES, resolve(dirname(file), specifier));
  const [to = "", ...rest] = path.split("/");
  if (to === from) return undefined;
  if (rest.join("/") !== "mod.ts") return "reaches past the package's mod.ts";
  const layers = LAYERS[from] ?? [];
  const allowed = file.endsWith("_test.ts")
    ? [...layers, ...TEST_PACKAGES]
    : layers;
  if (allowed.includes("*") || allowed.includes(to)) return undefined;
  return `${from} may not import ${to}`;
}

function findBrokenImports(): BrokenImport[] {
  return listSources(PACKAGES).flatMap((file) =>
    [...readFileSync(file, "utf8").matchAll(IMPORT)].flatMap((match) => {
      const target = match[1] ?? "";
      const reason = checkImport(file, target);
      return reason === undefined ? [] : [{ file, target, reason }];
    })
  );
}

const broken = findBrokenImports();
for (const each of broken) {
  console.error(`${each.file}: ${each.target}: ${each.reason}`);
}
console.log(`${broken.length} broken imports`);
process.exitCode = broken.length === 0 ? 0 : 1;
