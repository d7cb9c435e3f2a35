/** Tests of changes of the settings file of a running process. */
import test from "ava";
import { type Either, Left, Right } from "purify-ts";
import { type InputError, InputErrorKind } from "../core/mod.ts";
import type { LogFields } from "../runtime/mod.ts";
import { type GatewaySettings, parseGatewaySettings } from "../settings/mod.ts";
import { SettingsReloader } from "./settings_reloader.ts";

const FILE = JSON.stringify({
  vm: "v1",
  dataCentre: "a",
  regions: { a: "west" },
  callers: "127.0.0.1:1",
  readiness: "127.0.0.1:2",
  store: { address: "127.0.0.1:3" },
});
const CHANGED = FILE.replace("west", "east");

const UNREADABLE: Either<readonly InputError[], string> = Left([{
  kind: InputErrorKind.Unreadable,
  message: "The file cannot be read",
  remedy: "",
}]);

/** Reloads for each text that the file holds in turn. */
function reloadAll(
  contents: readonly (string | undefined)[],
): { readonly applied: GatewaySettings[]; readonly faults: LogFields[] } {
  const applied: GatewaySettings[] = [];
  const faults: LogFields[] = [];
  let content: string | undefined;
  const reloader = new SettingsReloader({
    text: FILE,
    log: { error: (_event, fields = {}) => void faults.push(fields) },
    readText: () => content === undefined ? UNREADABLE : Right(content),
    parse: (text) => parseGatewaySettings(text, "settings"),
    apply: (settings: GatewaySettings) => void applied.push(settings),
  });
  for (const each of contents) {
    content = each;
    reloader.reload();
  }
  return { applied, faults };
}

test("a changed file is applied once", (t) => {
  const { applied, faults } = reloadAll([FILE, CHANGED, CHANGED, FILE]);
  t.deepEqual(applied.map(({ regions }) => regions["a"]), ["east", "west"]);
  t.is(faults.length, 0);
});

const BROKEN: Readonly<Record<string, string | undefined>> = {
  empty: "",
  blank: " \n",
  "half written": CHANGED.slice(0, CHANGED.length / 2),
  "of other settings": "{}",
  missing: undefined,
};

for (const [state, content] of Object.entries(BROKEN)) {
  test(`a file that is ${state} keeps the settings and is logged once, with a reason`, (t) => {
    const { applied, faults } = reloadAll([content, content, FILE]);
    t.is(applied.length, 0);
    t.is(faults.length, 1);
    t.true(String(faults[0]!["reason"]).length > 0);
  });

  test(`a file that was ${state} for a moment is applied when it is whole`, (t) => {
    const { applied, faults } = reloadAll([content, CHANGED]);
    t.deepEqual(applied.map(({ regions }) => regions["a"]), ["east"]);
    t.is(faults.length, 1);
  });
}
