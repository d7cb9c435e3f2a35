/** Tests of the defaults of settings and of the errors reported for them. */
import { readFileSync } from "node:fs";
import test from "ava";
import fc from "fast-check";
import { formatInputError } from "../core/mod.ts";
import {
  GATEWAY_SCHEMA,
  parseGatewaySettings,
  parseSettings,
  SETTINGS_SCHEMA,
} from "./mod.ts";

const EXAMPLE = readFileSync("packages/cli/example/settings.jsonc", "utf8");

function listErrors(text: string): string[] {
  return parseSettings(text, "settings.jsonc")
    .swap()
    .map((errors) => errors.map(formatInputError))
    .orDefault([]);
}

test("the example is valid and shows the defaults", (t) => {
  const settings = parseSettings(EXAMPLE, "example").unsafeCoerce();
  const { limits, intervals, logLevel, seeds } = SETTINGS_SCHEMA.parse({
    ...settings,
    limits: undefined,
    intervals: undefined,
    logLevel: undefined,
    seeds: undefined,
  });
  t.deepEqual(settings.limits, limits);
  t.deepEqual(settings.intervals, intervals);
  t.deepEqual(settings.logLevel, logLevel);
  t.deepEqual(settings.seeds, seeds);
});

test("an unknown key is reported with its position and the closest key", (t) => {
  const errors = listErrors(EXAMPLE.replace('"logLevel"', '"logLevle"'));
  t.is(errors.length, 1);
  t.regex(errors[0]!, /^settings\.jsonc:\d+:\d+: There is no setting logLevle/);
  t.regex(errors[0]!, /Did you mean logLevel\?/);
});

test("a missing key, a wrong type and a value out of range are each reported", (t) => {
  const errors = listErrors(
    EXAMPLE.replace('"region": "addis",', "")
      .replace('"port": 8080', '"port": "8080"')
      .replace('"flushMillis": 20', '"flushMillis": 0'),
  );
  t.is(errors.length, 3);
  t.true(errors.some((error) => error.includes("region is missing")));
  t.true(errors.some((error) => error.includes("callers.port does not fit")));
  t.true(errors.some((error) => error.includes("flushMillis does not fit")));
});

test("a syntax error is reported with its line and column", (t) => {
  const [error] = listErrors('{\n  "vm": ,\n}');
  t.regex(error!, /^settings\.jsonc:2:9: The text is not JSON/);
});

test("a missing peer key is reported", (t) => {
  const [error] = listErrors(EXAMPLE.replace('"peerKeyFile": "peer.key",', ""));
  t.regex(error!, /peerKey/);
});

test("for any text, each error has a message and a remedy", (t) => {
  const edits = fc.record({
    at: fc.nat(EXAMPLE.length),
    cut: fc.nat(40),
    text: fc.string({ maxLength: 20 }),
  });
  fc.assert(
    fc.property(edits, ({ at, cut, text }) => {
      const edited = EXAMPLE.slice(0, at) + text + EXAMPLE.slice(at + cut);
      const parsed = parseSettings(edited, "fuzz");
      if (parsed.isRight()) return true;
      const errors = parsed.swap().unsafeCoerce();
      return errors.length > 0 &&
        errors.every((error) => error.message !== "" && error.remedy !== "");
    }),
    { seed: 7, numRuns: 500 },
  );
  t.pass();
});

const GATEWAY_EXAMPLE = `{
  // A gateway on this machine.
  "vm": "v1", "dataCentre": "addis-a", "regions": { "addis-a": "addis" },
  "callers": "127.0.0.1:8080", "readiness": "127.0.0.1:8081",
  "store": { "address": "127.0.0.1:9000" },
}`;

function listGatewayErrors(text: string): string[] {
  return parseGatewaySettings(text, "gateway.jsonc")
    .swap()
    .map((errors) => errors.map(formatInputError))
    .orDefault([]);
}

test("gateway settings have defaults and report errors with their position", (t) => {
  const settings = parseGatewaySettings(GATEWAY_EXAMPLE, "g").unsafeCoerce();
  t.deepEqual(settings, GATEWAY_SCHEMA.parse(settings));
  t.is(settings.budgets.offlineMillis, 12_000);
  const [unknownKeyError] = listGatewayErrors(
    GATEWAY_EXAMPLE.replace('"readiness"', '"readyness"'),
  ).filter((error) => error.includes("There is no setting"));
  t.regex(
    unknownKeyError!,
    /^gateway\.jsonc:4:\d+: There is no setting readyness/,
  );
  t.regex(unknownKeyError!, /Did you mean readiness\?/);
  const [addressError] = listGatewayErrors(
    GATEWAY_EXAMPLE.replace(":8080", ""),
  );
  t.regex(addressError!, /callers does not fit: must be HOST:PORT/);
});
