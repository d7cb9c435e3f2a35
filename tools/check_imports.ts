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
  routes: ["core"],
  explain: ["core"],
  ports: ["core"],
  budget: ["core"],
  request: ["core"],
  routing: ["core", "ports"],
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
  ],
  // The adapter speaks the platform's protocol and decides nothing, so it gets
  // no package that decides; of the gateway it has only the types.
  platform: ["core", "ports", "routes", "gateway"],
  // Test support that speaks the platform's protocol.
  "platform/stand_ins": [],
  soak: ["core", "bench", "platform/stand_ins"],
  bench: ["*"],
  cli: ["*"],
};

/** Tests may also use these packages. */
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

const PACKAGES = resolve("packages");
const ADAPTER = resolve("platform");
const IMPORT = /(?:from|import)\s+"(\.[^"]+)"/g;
const VALUE_IMPORT = /^import \{[^}]*\} from "[^"]*gateway\/mod\.ts"/m;

/** One import that breaks a rule. */
interface ForbiddenImport {
  readonly file: string;
  /** The specifier, or the import statement if it takes values of the gateway. */
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

/** Returns the package that a file is in, and its path within. */
function splitPath(file: string): readonly string[] {
  const inAdapter = relative(ADAPTER, file);
  if (inAdapter.startsWith("..")) return relative(PACKAGES, file).split("/");
  const [folder = "", ...rest] = inAdapter.split("/");
  return folder === "stand_ins"
    ? ["platform/stand_ins", ...rest]
    : ["platform", folder, ...rest];
}

function checkImport(file: string, specifier: string): string | undefined {
  const [from = ""] = splitPath(file);
  const [to = "", ...rest] = splitPath(resolve(dirname(file), specifier));
  if (to === from) return undefined;
  if (rest.join("/") !== "mod.ts") return "reaches past the package's mod.ts";
  const layers = LAYERS[from] ?? [];
  const allowed = file.endsWith("_test.ts")
    ? [...layers, ...TEST_PACKAGES]
    : layers;
  if (allowed.includes("*") || allowed.includes(to)) return undefined;
  return `${from} may not import ${to}`;
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

/** The adapter may know the gateway's types, but call nothing of it. */
function findAdapterValueImports(
  file: string,
  text: string,
): ForbiddenImport[] {
  const isAdapter = splitPath(file)[0] === "platform";
  if (!isAdapter || file.endsWith("_test.ts")) return [];
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
console.log(`${forbidden.length} broken imports`);
process.exitCode = forbidden.length === 0 ? 0 : 1;
