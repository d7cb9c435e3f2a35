/**
 * Checks the imports between packages: a file imports another package only
 * through its `mod.ts`, and only if the layers allow it.
 *
 * Usage: `node dist/tools/check_imports.js`; exits with 1 if an import is
 * forbidden.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";

/** Packages that each package may import besides itself; `*` allows all. */
const LAYERS: Readonly<Record<string, readonly string[]>> = {
  core: [],
  runtime: ["core"],
  settings: ["core"],
  routes: ["core"],
  delta: [],
  explain: ["core"],
  ports: ["core"],
  budget: ["core"],
  request: ["core"],
  routing: ["core", "ports", "routes"],
  document: ["core"],
  membership: ["core"],
  admin: ["core", "budget", "request", "document", "membership", "routing"],
  peer: ["core", "ports"],
  lending: ["core", "budget", "peer", "runtime"],
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
    "lending",
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
  gateway: [
    "core",
    "runtime",
    "settings",
    "ports",
    "budget",
    "routing",
    "routes",
    "membership",
    "peer",
    "lending",
    "delta",
  ],
  // The adapter only translates the platform's protocol and makes no decisions,
  // so it may not import packages that do; from the gateway it takes only types.
  platform: ["core", "ports", "routes", "gateway"],
  // Test support: stand-ins that implement the platform's protocol.
  "platform/stand_ins": [],
  soak: ["core", "bench", "platform/stand_ins"],
  bench: ["*"],
  cli: ["*"],
};

/** Packages that tests may import in addition. */
const TEST_PACKAGES = [
  "platform/stand_ins",
  "trial",
  "stand_ins",
  "model",
  "daemon",
  "ports",
  "bench",
  "runtime",
  "settings",
];

/** Test support that imports what tests may import. */
const TEST_SUPPORT = "platform/test_system.ts";

const PACKAGES = resolve("packages");
const ADAPTER = resolve("platform");
const IMPORT = /(?:from|import)\s+"(\.[^"]+)"/g;
const VALUE_IMPORT = /^import \{[^}]*\} from "[^"]*gateway\/mod\.ts"/m;

/** An import that violates a rule. */
interface ForbiddenImport {
  readonly file: string;
  /** The specifier; for an import of gateway values, the whole statement. */
  readonly importText: string;
  readonly reason: string;
}

function listSources(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return listSources(path);
    return path.endsWith(".ts") ? [path] : [];
  });
}

/** Returns a file's package and the parts of its path within the package. */
function splitPath(file: string): readonly string[] {
  const inAdapter = relative(ADAPTER, file);
  if (inAdapter.startsWith("..")) return relative(PACKAGES, file).split("/");
  const [folder = "", ...rest] = inAdapter.split("/");
  return folder === "stand_ins"
    ? ["platform/stand_ins", ...rest]
    : ["platform", folder, ...rest];
}

/** Returns why an import is forbidden, or undefined if it is allowed. */
function checkImport(file: string, specifier: string): string | undefined {
  const [from = ""] = splitPath(file);
  const [to = "", ...rest] = splitPath(resolve(dirname(file), specifier));
  if (to === from) return undefined;
  if (rest.join("/") !== "mod.ts") return "reaches past the package's mod.ts";
  const layers = LAYERS[from] ?? [];
  const allowed = isTestFile(file) ? [...layers, ...TEST_PACKAGES] : layers;
  if (allowed.includes("*") || allowed.includes(to)) return undefined;
  return `${from} may not import ${to}`;
}

function isTestFile(file: string): boolean {
  return file.endsWith("_test.ts") || file === resolve(TEST_SUPPORT);
}

function findForbiddenImports(): ForbiddenImport[] {
  const sources = [PACKAGES, ADAPTER].flatMap(listSources);
  return sources.flatMap((file) => {
    const text = readFileSync(file, "utf8");
    const forbidden = [...text.matchAll(IMPORT)].flatMap((match) => {
      const importText = match[1] ?? "";
      const reason = checkImport(file, importText);
      return reason === undefined ? [] : [{ file, importText, reason }];
    });
    return [...forbidden, ...findAdapterValueImports(file, text)];
  });
}

/** Finds imports of the adapter that take more than types from the gateway. */
function findAdapterValueImports(
  file: string,
  text: string,
): ForbiddenImport[] {
  const isAdapter = splitPath(file)[0] === "platform";
  if (!isAdapter || isTestFile(file)) return [];
  const importText = VALUE_IMPORT.exec(text)?.[0];
  if (importText === undefined) return [];
  return [{
    file,
    importText,
    reason: "the adapter may import only types from gateway",
  }];
}

const forbidden = findForbiddenImports();
for (const each of forbidden) {
  console.error(`${each.file}: ${each.importText}: ${each.reason}`);
}
console.log(`${forbidden.length} forbidden imports`);
process.exitCode = forbidden.length === 0 ? 0 : 1;
