/** Tests of the recorded traces, of the reports of differences and of errors. */
import test from "ava";
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import fc from "fast-check";
import { recordLoanRequest } from "../budget/mod.ts";
import type { InputContext, InputTable, ReplayInput } from "./replay_input.ts";
import {
  Failure,
  formatReplayError,
  formatReplayReport,
  listTraces,
  parseTrace,
  REPLAY_INPUTS,
  ReplayErrorKind,
  replayTrace,
} from "./mod.ts";

const SEED = 4;

const HEADER =
  '{"format":"anvilrail-trace","version":1,"name":"n","about":"a","failures":["store-down-or-slow"]}';

const STEP = '{"at":5,"input":"vm/restart","vm":"a","expect":1}';

const END = '{"end":"anvilrail-trace","steps":1}';

const TRACES = listTraces().map((path) => ({
  name: basename(path),
  text: readFileSync(path, "utf8"),
}));

async function findDifference(text: string, inputs?: InputTable) {
  const replayed = await replayTrace(text, inputs);
  return replayed.unsafeCoerce().difference;
}

function changeExpect(text: string, line: number): string {
  const lines = text.split("\n");
  const step = JSON.parse(lines[line - 1] ?? "");
  lines[line - 1] = JSON.stringify({ ...step, expect: { wrong: true } });
  return lines.join("\n");
}

for (const { name, text } of TRACES) {
  test(`${name} has the stated outcomes`, async (t) => {
    const report = (await replayTrace(text)).unsafeCoerce();
    t.is(report.difference, undefined, formatReplayReport(report));
    t.is(`${report.header.name}.jsonl`, name);
  });

  test(`${name} fails at each outcome that is stated wrongly`, async (t) => {
    const { steps } = parseTrace(text, REPLAY_INPUTS).unsafeCoerce();
    for (const { line, expect } of steps) {
      const difference = await findDifference(changeExpect(text, line));
      t.is(difference?.line, line);
      t.deepEqual(difference?.found, expect);
    }
  });
}

test("the traces cover every failure, two at once in at least two", (t) => {
  const shown = TRACES.map(({ text }) =>
    parseTrace(text, REPLAY_INPUTS).unsafeCoerce().header.failures
  );
  t.true(TRACES.length >= 10);
  t.deepEqual(
    [...new Set(shown.flat())].sort(),
    Object.values(Failure).sort(),
  );
  t.true(shown.filter((failures) => failures.length >= 2).length >= 2);
});

test("a difference shows the line, what was expected and what was found", async (t) => {
  const text = [HEADER, STEP, END].join("\n");
  const report = (await replayTrace(text)).unsafeCoerce();
  t.is(
    formatReplayReport(report),
    'n: line 2: vm/restart differs after 0 steps as stated\n  expected 1\n  found    {"incarnation":"2"}',
  );
});

type Variant = (
  fields: Record<string, unknown>,
  context: InputContext,
) => readonly [Record<string, unknown>, InputContext];

/** Faulty variants: what each does to an input before the decision gets it. */
const VARIANTS: Readonly<Record<string, Variant>> = {
  "budget/top-up": (fields, context) => [
    { ...fields, topUp: `${fields["topUp"]}@${context.now}` },
    context,
  ],
  "budget/take": (fields, context) => [
    { ...fields, grant: `${fields["grant"]}@${context.now}` },
    context,
  ],
  "budget/reserve": (fields, context) => [fields, { ...context, now: 0 }],
  "budget/credit": (fields, { fleet, now }) => {
    const { vm, event, transfer } = fields as Record<string, string>;
    const loan = { transferId: transfer!, lender: "b", wanted: 1, askedAt: 0 };
    const account = fleet.getAccount(vm!, event!);
    fleet.putAccount(vm!, recordLoanRequest(account, loan));
    return [fields, { fleet, now }];
  },
  "request/claim": (fields, context) => [
    { ...fields, key: `${fields["key"]}@${context.now}` },
    context,
  ],
  "request/bill": (fields, context) => [
    { ...fields, bills: [] },
    context,
  ],
  "routing/start": (fields, context) => [
    { ...fields, digest: `${fields["digest"]}@${context.now}` },
    context,
  ],
  "routing/silence": ({ probe: _probe, ...fields }, context) => [
    fields,
    context,
  ],
  "duty/may-order": (fields, context) => [fields, { ...context, now: 0 }],
  "document/submit": (fields, context) => [
    { ...fields, change: `${fields["change"]}@${context.now}` },
    context,
  ],
};

for (const [name, change] of Object.entries(VARIANTS)) {
  test(`a faulty variant of ${name} is noticed by a trace`, async (t) => {
    const whole = REPLAY_INPUTS[name]!;
    const faulty: ReplayInput = {
      schema: whole.schema,
      run: (fields, context) =>
        whole.run(...change(fields as Record<string, unknown>, context)),
    };
    const inputs = { ...REPLAY_INPUTS, [name]: faulty };
    const differences = await Promise.all(
      TRACES.map(({ text }) => findDifference(text, inputs)),
    );
    t.true(differences.some((difference) => difference !== undefined));
  });
}

const FAULTS: readonly [string, readonly string[], ReplayErrorKind, number][] =
  [
    ["no text", [], ReplayErrorKind.Truncated, 1],
    ["no end", [HEADER, STEP], ReplayErrorKind.Truncated, 3],
    ["a missing step", [HEADER, END], ReplayErrorKind.Truncated, 2],
    ["a cut line", [HEADER, STEP.slice(0, 20)], ReplayErrorKind.Syntax, 2],
    ["no header", [STEP, END], ReplayErrorKind.BadHeader, 1],
    [
      "another version",
      [HEADER.replace('"version":1', '"version":2'), STEP, END],
      ReplayErrorKind.UnknownVersion,
      1,
    ],
    [
      "an unknown field",
      [HEADER, STEP.replace('"vm"', '"colour":1,"vm"'), END],
      ReplayErrorKind.BadField,
      2,
    ],
    [
      "an unknown field of the header",
      [HEADER.replace('"name"', '"colour":1,"name"'), STEP, END],
      ReplayErrorKind.BadHeader,
      1,
    ],
    [
      "no expectation",
      [HEADER, STEP.replace(',"expect":1', ""), END],
      ReplayErrorKind.BadField,
      2,
    ],
    [
      "an unknown input",
      [HEADER, STEP.replace("vm/restart", "toString"), END],
      ReplayErrorKind.UnknownInput,
      2,
    ],
    [
      "a time that goes back",
      [HEADER, STEP, STEP.replace('"at":5', '"at":4'), END],
      ReplayErrorKind.TimeBack,
      3,
    ],
    [
      "a line after the end",
      [HEADER, STEP, END, STEP],
      ReplayErrorKind.AfterEnd,
      4,
    ],
  ];

for (const [name, lines, kind, line] of FAULTS) {
  test(`${name} is an error with its line and a remedy`, async (t) => {
    const replayed = await replayTrace(lines.join("\n"));
    const error = replayed.swap().unsafeCoerce();
    t.is(error.kind, kind, formatReplayError(error));
    t.is(error.line, line);
    t.true(error.remedy.length > 0);
  });
}

test("a trace cut off anywhere before its end is an error", (t) => {
  const text = TRACES[0]!.text.trimEnd();
  for (let length = 0; length < text.length; length++) {
    t.true(parseTrace(text.slice(0, length), REPLAY_INPUTS).isLeft());
  }
});

test("whatever the text, the parser answers with a line of it", (t) => {
  const lines = TRACES.flatMap(({ text }) => text.trimEnd().split("\n"));
  const line = fc.oneof(
    fc.constantFrom(...lines),
    fc.string(),
    fc.json(),
    fc.tuple(fc.constantFrom(...lines), fc.nat(), fc.string()).map(
      ([each, at, insert]) => each.slice(0, at % each.length) + insert,
    ),
  );
  fc.assert(
    fc.property(fc.array(line, { maxLength: 12 }), (found) => {
      const text = found.join("\n");
      const count = text.split("\n").length;
      parseTrace(text, REPLAY_INPUTS).ifLeft((error) => {
        t.true(error.line >= 1 && error.line <= count + 1);
      });
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.pass();
});
