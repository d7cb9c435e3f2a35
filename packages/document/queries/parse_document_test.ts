/** Tests of parsing a complete document. */
import test from "ava";
import fc from "fast-check";
import {
  formatInputError,
  InputErrorKind,
  Repeatability,
} from "../../core/mod.ts";
import { parseDocument } from "../mod.ts";

const HASH = "a".repeat(64);

const DOCUMENT = `// the fleet
{
  "teams": { "depot": { "keyHashes": ["${HASH}"] } },
  "sections": {
    "depot": {
      "events": {
        // the monthly audit
        "audit": {
          "budgetTokens": 5000,
          "customers": ["kosice"],
          "kinds": {
            "draft": { "service": "engines", "maxOutputTokens": 500 }, // large
          },
        },
      },
      "customers": { "kosice": { "keyHashes": ["${HASH}"] } },
      "services": {
        "engines": {
          "type": "model-engine",
          "targets": {
            "e1": { "url": "http://10.0.0.5:8000", "region": "west", "dataCentre": "w1" }
          }
        }
      },
      "links": [{ "from": "west", "to": "east", "megabitsPerSecond": 20, "oneWayMillis": 30 }],
      "staleAfterMillis": 30000,
      "messages": { "budget-spent": "The budget is used up." }
    }
  }
}
`;

function listErrors(change: readonly [from: string, to: string]): string[] {
  return parseDocument(DOCUMENT.replace(...change), "doc").caseOf({
    Left: (errors) => errors.map(formatInputError),
    Right: () => [],
  });
}

test("a document is parsed into a configuration with defaults", (t) => {
  const configuration = parseDocument(DOCUMENT, "doc").unsafeCoerce();
  const event = configuration.events.get("audit");
  t.is(event?.budgetTokens, 5000);
  t.is(event?.kinds.get("draft")?.repeatability, Repeatability.Once);
  t.is(configuration.services.get("engines")?.path, "/v1/chat/completions");
  t.is(configuration.links[0]?.bytesPerSecond, 2_500_000);
  t.is(configuration.staleAfter, 30_000);
  t.true(configuration.teams.has("depot"));
});

test("every error has a position and a remedy", (t) => {
  const cases: [from: string, to: string, expected: RegExp][] = [
    ['"budgetTokens"', '"budgetTokns"', /^doc:9:11: .*budgetTokens"\?$/m],
    ['"budgetTokens": 5000', '"budgetTokens": -1', /^doc:9:27: .*whole number/],
    ['["kosice"]', '["kosica"]', /^doc:10:25: .*Did you mean "kosice"\?/],
    ['"service": "engines"', '"service": "engine"', /unknown-reference/],
    [', "maxOutputTokens": 500', "", /maxOutputTokens/],
    ['"model-engine"', '"model-engin"', /^doc:19:19: .*model-engine/],
    ["http://10", "ftp://10", /base URL/],
    ['"staleAfterMillis": 30000', '"staleAfterMillis": "x"', /^doc:26:27: /],
    ['"budget-spent"', '"budget-spend"', /^doc:27:21: .*budget-spent/],
    ['"depot": {\n', '"depo": {\n', /belongs to no team/],
    ['"teams"', '"team"', /^doc:3:3: .*Did you mean "teams"/],
    ['"audit": {', '"audit" {', /^doc:8:17: .*colon/],
    ['"events": {', '"events": [', /doc:/],
  ];
  for (const [from, to, expected] of cases) {
    t.regex(listErrors([from, to])[0] ?? "no error", expected, to);
  }
});

test("a duplicate name is refused", (t) => {
  const twice = DOCUMENT.replace(
    '"services": {',
    '"services": { "engines": { "type": "plain-service", "targets": {} },',
  );
  const errors = parseDocument(twice, "doc").swap().unsafeCoerce();
  t.true(errors.some((error) => error.kind === InputErrorKind.Duplicate));
});

test("excessive nesting is refused and does not exhaust the stack", (t) => {
  const deep = `{"sections":{"a":${"[".repeat(200_000)}`;
  t.true(parseDocument(deep, "doc").isLeft());
});

test("the parser never throws, and every error has a position and a remedy", (t) => {
  const inserted = fc.oneof(
    fc.constantFrom(
      "{",
      "}",
      "[",
      "]",
      ",",
      ":",
      '"',
      "//",
      "/*",
      "null",
      "1e999",
    ),
    fc.string({ maxLength: 5 }),
    fc.json({ maxDepth: 2 }),
  );
  const edit = fc.record({
    from: fc.nat(DOCUMENT.length),
    length: fc.nat(40),
    inserted,
  });
  const broken = fc.array(edit, { minLength: 1, maxLength: 3 }).map((edits) =>
    edits.reduce(
      (text, { from, length, inserted }) =>
        text.slice(0, from) + inserted + text.slice(from + length),
      DOCUMENT,
    )
  );
  const texts = fc.oneof(
    { arbitrary: broken, weight: 4 },
    fc.json(),
    fc.string({ unit: "binary" }),
  );
  fc.assert(
    fc.property(texts, (text) => {
      parseDocument(text, "doc").ifLeft((errors) => {
        t.true(errors.length > 0);
        for (const { kind, remedy, place } of errors) {
          t.true(Object.values(InputErrorKind).includes(kind));
          t.not(remedy, "");
          t.true((place?.line ?? 0) >= 1 && (place?.column ?? 0) >= 1);
        }
      });
    }),
    { numRuns: 3_000, seed: 6 },
  );
});
