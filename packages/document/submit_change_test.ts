/**
 * Tests of submitting changes with concurrent changes, store outages and lost
 * answers.
 */
import test from "ava";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import { StoreWriter } from "../ports/mod.ts";
import { CallFault, MemoryTable } from "../stand_ins/mod.ts";
import {
  ChangeRefusalKind,
  Container,
  createDocumentState,
  type DocumentState,
  FLEET_SECTION,
  formatSection,
  loadDocument,
  readSectionText,
  StateReader,
  submitChange,
  type SubmitPorts,
  submitRollback,
  SubmitState,
} from "./mod.ts";

const KEY_HASH = "b".repeat(64);

const SECTION = `{
  // what the depots draw on
  "events": {
    // the monthly audit
    "audit": { "budgetTokens": 5000, "customers": ["zilina"], "kinds": {} }, // large
    "flags": { "budgetTokens": 900, "customers": ["zilina"], "kinds": {} } // small
  },
  "customers": { "zilina": { "keyHashes": ["${KEY_HASH}"] } }
}
`;

class Fleet {
  readonly table: MemoryTable;
  writeFaults: CallFault[] = [];
  /**
   * Number of writes that succeed before the store is down; undefined for no
   * outage.
   */
  outageAfterWrites: number | undefined;
  #number = 0;

  constructor() {
    this.table = new MemoryTable({
      chooseFault: (call) => this.#chooseFault(call),
    });
  }

  #chooseFault(call: "read" | "write"): CallFault {
    if (this.outageAfterWrites === 0) return CallFault.Down;
    if (call === "read") return CallFault.None;
    if (this.outageAfterWrites !== undefined) this.outageAfterWrites--;
    return this.writeFaults.shift() ?? CallFault.None;
  }

  createPorts(): SubmitPorts {
    const clock = createManualClock();
    const writer = new StoreWriter({
      table: this.table,
      clock,
      random: () => 0.5,
      sleep: (duration) => {
        clock.advance(duration);
        return Promise.resolve();
      },
      groupDelay: 1,
    });
    return {
      reader: this.table,
      run: (operation) =>
        writer.run(operation, { giveUpAt: clock.readMonotonic() + 500 }),
    };
  }

  submit(
    section: string,
    baseVersion: number,
    options: {
      readonly text?: string;
      readonly values?: Record<string, string | undefined>;
      readonly changeId?: string;
      readonly container?: Container;
      readonly state?: DocumentState;
    },
  ) {
    const container = options.container ?? Container.Events;
    const values = Object.entries(options.values ?? {}).map(([key, value]) =>
      value === undefined ? { container, key } : { container, key, value }
    );
    return submitChange(
      this.createPorts(),
      options.state ?? createDocumentState(),
      {
        changeId: options.changeId ?? `change-${this.#number++}`,
        section,
        baseVersion,
        edit: options.text === undefined ? { values } : { text: options.text },
        author: "operator",
        wallTime: 0,
      },
    );
  }

  async load(state = createDocumentState()): Promise<DocumentState> {
    return (await loadDocument(this.table, state)).unsafeCoerce().state;
  }

  async readText(section: string): Promise<string> {
    const state = await this.load();
    return formatSection(state.sections.get(section)!).unsafeCoerce();
  }
}

async function createFleet(): Promise<Fleet> {
  const fleet = new Fleet();
  const teams = `{"teams":{"depot":{"keyHashes":[]},"audit":{"keyHashes":[]}}}`;
  await fleet.submit(FLEET_SECTION, 0, { text: teams });
  await fleet.submit("depot", 0, { text: SECTION });
  return fleet;
}

const RAISED_EVENT =
  '{ "budgetTokens": 7000, "customers": ["zilina"], "kinds": {} }';

test("a change of one entry keeps all other text and comments", async (t) => {
  const fleet = await createFleet();
  t.is(await fleet.readText("depot"), SECTION);
  await fleet.submit("depot", 1, {
    values: { audit: RAISED_EVENT, flags: undefined },
  });
  const expected = SECTION
    .replace(
      /"audit": \{.*\}, \/\/ large/,
      `"audit": ${RAISED_EVENT}, // large`,
    )
    .replace(/ {4}"flags".*\n/, "");
  t.is(await fleet.readText("depot"), expected);
  await fleet.submit("depot", 2, { values: { spare: RAISED_EVENT } });
  t.is((await fleet.load()).configuration.events.size, 2);
});

test("the second of two concurrent changes of one section is refused with the differences", async (t) => {
  const fleet = await createFleet();
  const state = await fleet.load();
  const first = await fleet.submit("depot", 1, {
    state,
    values: { audit: RAISED_EVENT },
  });
  t.is(first.state, SubmitState.Accepted);
  const text = SECTION.replace("900", "800");
  const second = await fleet.submit("depot", 1, { state, text });
  if (second.state !== SubmitState.Refused) return t.fail(second.state);
  t.is(second.refusal.kind, ChangeRefusalKind.VersionConflict);
  t.is(second.refusal.current?.text, await fleet.readText("depot"));
  t.deepEqual(second.refusal.differences.map((each) => each.name), [
    "events/audit",
    "events/flags",
  ]);
});

test("concurrent changes of different sections are all accepted", async (t) => {
  const fleet = await createFleet();
  const state = await fleet.load();
  const value = '{ "budgetTokens": 1, "customers": [], "kinds": {} }';
  const results = await Promise.all([
    fleet.submit("depot", 1, { state, values: { audit: RAISED_EVENT } }),
    fleet.submit("audit", 0, { state, values: { yearly: value } }),
    fleet.submit(FLEET_SECTION, 1, {
      state,
      container: Container.Teams,
      values: { third: '{ "keyHashes": [] }' },
    }),
  ]);
  t.true(results.every((each) => each.state === SubmitState.Accepted));
  const after = await fleet.load(state);
  t.is(after.version, 5);
  t.is(after.configuration.events.get("audit")?.budgetTokens, 7000);
  t.true(after.configuration.events.has("yearly"));
  t.true(after.configuration.teams.has("third"));
});

test("concurrent changes of two sections cannot break a reference between them", async (t) => {
  const fleet = await createFleet();
  const state = await fleet.load();
  const value = '{ "budgetTokens": 1, "customers": ["zilina"], "kinds": {} }';
  await fleet.submit("depot", 1, {
    state,
    text: '{ "events": {}, "customers": {} }',
  });
  const late = await fleet.submit("audit", 0, {
    state,
    values: { yearly: value },
  });
  if (late.state !== SubmitState.Refused) return t.fail(late.state);
  t.is(late.refusal.kind, ChangeRefusalKind.Invalid);
  t.regex(late.refusal.errors[0]?.message ?? "", /no customer "zilina"/);
});

test("after a lost answer, resubmitting the same id finds the change applied once", async (t) => {
  const fleet = await createFleet();
  const change = { changeId: "raise", values: { audit: RAISED_EVENT } };
  const { None, AnswerLost } = CallFault;
  // The chunk is written, then the commit's answer is lost and the store goes down.
  fleet.writeFaults = [None, AnswerLost];
  fleet.outageAfterWrites = 2;
  const lost = await fleet.submit("depot", 1, change);
  t.is(lost.state, SubmitState.Unknown);
  fleet.outageAfterWrites = undefined;
  const again = await fleet.submit("depot", 1, change);
  t.is(again.state, SubmitState.AcceptedBefore);
  t.is((await fleet.load()).version, 3);
  const reused = await fleet.submit("depot", 2, {
    changeId: "raise",
    values: { flags: undefined },
  });
  if (reused.state !== SubmitState.Refused) return t.fail(reused.state);
  t.is(reused.refusal.kind, ChangeRefusalKind.ChangeIdReused);
});

test("a store outage is reported and nothing is changed", async (t) => {
  const fleet = await createFleet();
  fleet.outageAfterWrites = 0;
  const result = await fleet.submit("depot", 1, {
    values: { audit: RAISED_EVENT },
  });
  t.is(result.state, SubmitState.NotDone);
  fleet.outageAfterWrites = undefined;
  t.is(await fleet.readText("depot"), SECTION);
});

test("after a lost answer the writer reads back and the change is applied once", async (t) => {
  const fleet = await createFleet();
  fleet.writeFaults = Array<CallFault>(2).fill(CallFault.AnswerLost);
  const result = await fleet.submit("depot", 1, {
    values: { audit: RAISED_EVENT },
  });
  t.is(result.state, SubmitState.Accepted);
  t.is((await fleet.load()).version, 3);
});

test("a rollback creates a new version with the old text", async (t) => {
  const fleet = await createFleet();
  await fleet.submit("depot", 1, { values: { audit: RAISED_EVENT } });
  const result = await submitRollback(
    fleet.createPorts(),
    await fleet.load(),
    {
      changeId: "back",
      section: "depot",
      baseVersion: 2,
      toVersion: 1,
      author: "operator",
      wallTime: 0,
    },
  );
  t.is(result.state, SubmitState.Accepted);
  t.is(await fleet.readText("depot"), SECTION);
  t.is((await fleet.load()).sections.get("depot")?.version, 3);
  const kept = await readSectionText(fleet.table, "depot", 2);
  t.true(kept.unsafeCoerce()?.includes("7000"));
});

test("a follower far behind loads all changes, including links moved between sections", async (t) => {
  const fleet = await createFleet();
  const links =
    '"links": [{ "from": "a", "to": "b", "megabitsPerSecond": 1, "oneWayMillis": 1 }]';
  const first = SECTION.replace(
    '"customers": {',
    `${links},\n  "customers": {`,
  );
  await fleet.submit("depot", 1, { text: first });
  const late = await fleet.load();
  await fleet.submit("depot", 2, { text: SECTION });
  await fleet.submit("audit", 0, { text: `{ ${links} }` });
  let state = await fleet.load(late);
  for (let number = 0; number < 110; number++) {
    const version = number + 3;
    const result = await fleet.submit("depot", version, {
      state,
      values: { audit: RAISED_EVENT.replace("7000", `${number}`) },
    });
    if (result.state !== SubmitState.Accepted) return t.fail(result.state);
    state = result.document;
  }
  const caughtUp = await fleet.load(late);
  t.is(caughtUp.version, state.version);
  t.is(caughtUp.configuration.events.get("audit")?.budgetTokens, 109);
  t.is(caughtUp.configuration.links.length, 1);
  t.deepEqual(listEvents(caughtUp), listEvents(await fleet.load()));
});

test("following by single changes, full loads and peers gives the same document", async (t) => {
  const commands = fc.array(
    fc.record({
      key: fc.integer({ min: 0, max: 30 }),
      tokens: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }),
      pad: fc.integer({ min: 0, max: 6_000 }),
    }),
    { maxLength: 12 },
  );
  await fc.assert(
    fc.asyncProperty(commands, async (edits) => {
      const fleet = await createFleet();
      let follower = await fleet.load();
      let peer = follower;
      for (const { key, tokens, pad } of edits) {
        const value = tokens === undefined
          ? undefined
          : `{ "budgetTokens": ${tokens}, "customers": [], "kinds": {} /* ${
            "x".repeat(pad)
          } */ }`;
        const version = follower.sections.get("depot")?.version ?? 0;
        const result = await fleet.submit("depot", version, {
          state: follower,
          values: { [`e${key}`]: value },
        });
        t.is(result.state, SubmitState.Accepted);
        follower = await fleet.load(follower);
        const reader = new StateReader(follower, []);
        peer = (await loadDocument(reader, peer)).unsafeCoerce().state;
      }
      const full = await fleet.load();
      for (const each of [follower, peer]) {
        t.is(each.version, full.version);
        t.deepEqual(listText(each), listText(full));
        t.deepEqual(listEvents(each), listEvents(full));
      }
    }),
    { numRuns: 30, seed: 6 },
  );
});

function listEvents(state: DocumentState) {
  return [...state.configuration.events].sort(([left], [right]) =>
    left < right ? -1 : 1
  );
}

function listText(state: DocumentState): string {
  return formatSection(state.sections.get("depot")!).unsafeCoerce();
}
