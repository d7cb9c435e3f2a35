/** Tests of the administration API with an in-memory store. */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import fc from "fast-check";
import { Right } from "purify-ts";
import { createManualClock } from "../core/mod.ts";
import {
  createDocumentState,
  type DocumentState,
  FLEET_SECTION,
} from "../document/mod.ts";
import { createMembershipView, MemberState } from "../membership/mod.ts";
import { StoreWriter } from "../ports/mod.ts";
import { MemoryTable } from "../stand_ins/mod.ts";
import {
  ADMIN_ROUTES,
  type AdminAnswer,
  AdminHttpHandler,
  type AdminPorts,
  AUDIT_PREFIX,
  type Caller,
  CallerRole,
  createOpenApi,
  findCaller,
  runRoute,
} from "./mod.ts";

const FLEET: Caller = { role: CallerRole.Fleet };
const DEPOT: Caller = { role: CallerRole.Team, team: "depot" };
const OTHER: Caller = { role: CallerRole.Team, team: "audit" };

const SECTION = `{
  // what the depots draw on
  "events": { "close": { "budgetTokens": 500, "customers": [], "kinds": {} } }
}
`;

class TestApi {
  readonly table = new MemoryTable();
  state: DocumentState = createDocumentState();
  #requests = 0;

  readonly ports: AdminPorts = this.#createPorts();

  async call(
    name: string,
    caller: Caller,
    input: {
      readonly params?: Record<string, string>;
      readonly query?: Record<string, string>;
      readonly body?: unknown;
    } = {},
  ): Promise<AdminAnswer> {
    const route = ADMIN_ROUTES.find((each) => each.name === name)!;
    const request = {
      caller,
      params: input.params ?? {},
      query: input.query ?? {},
      body: input.body,
      requestId: `r${this.#requests++}`,
    };
    return await runRoute(route, request, this.ports);
  }

  #createPorts(): AdminPorts {
    const clock = createManualClock(1_000);
    const writer = new StoreWriter({
      table: this.table,
      clock,
      random: () => 0.5,
      sleep: () => Promise.resolve(),
      groupDelay: 1,
    });
    const view = createMembershipView({
      vm: "vm-1",
      incarnation: "1",
      state: MemberState.Live,
      region: "r",
      dataCentre: "d",
      peerAddress: "10.0.0.1:1",
      callerAddress: "10.0.0.1:2",
      documentVersion: 0,
      heardAt: 0,
    });
    return {
      reader: this.table,
      run: (operation) => writer.run(operation, { giveUpAt: 1_000 }),
      readDocument: () => this.state,
      applyDocument: (state) => {
        if (state.version > this.state.version) this.state = state;
      },
      readView: () => view,
      listQuarantine: () => [],
      releaseQuarantine: () => {},
      findLossEvidence: () => Promise.resolve(Right(undefined)),
      readWallTime: () => clock.readWall(),
    };
  }
}

async function createTestApi(): Promise<TestApi> {
  const api = new TestApi();
  const text = `{"teams":{"depot":{"keyHashes":[]},"audit":{"keyHashes":[]}}}`;
  await api.call("putSection", FLEET, {
    params: { section: FLEET_SECTION },
    body: { changeId: "teams", baseVersion: 0, text },
  });
  await api.call("putSection", DEPOT, {
    params: { section: "depot" },
    body: { changeId: "first", baseVersion: 0, text: SECTION },
  });
  return api;
}

test("a team can read and change only its own section", async (t) => {
  const api = await createTestApi();
  const params = { section: "depot" };
  const read = await api.call("readSection", DEPOT, { params });
  t.deepEqual(read.body, { section: "depot", version: 1, text: SECTION });
  const body = { changeId: "theft", baseVersion: 1, text: "{}" };
  const refused = await api.call("putSection", OTHER, { params, body });
  t.is(refused.status, 403);
  t.is((await api.call("readSection", OTHER, { params })).status, 403);
  t.is(api.state.version, 2);
});

test("a stale change is answered with the current text, and an invalid one with the position of its error", async (t) => {
  const api = await createTestApi();
  const params = { section: "depot" };
  const late = await api.call("putSection", DEPOT, {
    params,
    body: { changeId: "late", baseVersion: 0, text: "{}" },
  });
  t.is(late.status, 409);
  t.true(JSON.stringify(late.body).includes("what the depots draw on"));
  const faulty = await api.call("putSection", DEPOT, {
    params,
    body: {
      changeId: "faulty",
      baseVersion: 1,
      text: SECTION.replace("budgetTokens", "budgetToken"),
    },
  });
  t.is(faulty.status, 422);
  t.regex(JSON.stringify(faulty.body), /"line":3,.*budgetTokens/);
});

test("a repeated top-up is applied once, and a dry run reports its effect on the budget without changing anything", async (t) => {
  const api = await createTestApi();
  const params = { event: "close" };
  const body = { topUpId: "t1", tokens: 100 };
  t.is((await api.call("topUpBudget", OTHER, { params, body })).status, 403);
  const first = await api.call("topUpBudget", DEPOT, { params, body });
  t.deepEqual(first.body, { limit: 600, appliedNow: true });
  const again = await api.call("topUpBudget", DEPOT, { params, body });
  t.deepEqual(again.body, { limit: 600, appliedNow: false });
  const text = SECTION.replace("500", "400");
  const tried = await api.call("putSection", DEPOT, {
    params: { section: "depot" },
    query: { dryRun: "true" },
    body: { changeId: "try", baseVersion: 1, text },
  });
  t.regex(
    JSON.stringify(tried.body),
    /lowers the limit of event close from 500 to 400 tokens.*stays 600/,
  );
  t.is(api.state.version, 2);
});

test("a team can rotate its keys, and a removed key is rejected at once", async (t) => {
  const api = await createTestApi();
  const hash = (key: string) => createHash("sha256").update(key).digest("hex");
  const rotate = (changeId: string, keyHashes: string[]) =>
    api.call("changeTeamKeys", DEPOT, {
      params: { team: "depot" },
      body: {
        changeId,
        baseVersion: api.state.sections.get(FLEET_SECTION)?.version,
        keyHashes,
      },
    });
  const find = (key: string) =>
    findCaller(key, {
      configuration: api.state.configuration,
      fleetKeyHashes: [hash("fleet")],
    });
  await rotate("both", [hash("old"), hash("new")]);
  t.deepEqual(find("old"), DEPOT);
  await rotate("one", [hash("new")]);
  t.is(find("old"), undefined);
  t.deepEqual(find("new"), DEPOT);
  t.deepEqual(find("fleet"), FLEET);
  const foreign = await api.call("changeTeamKeys", OTHER, {
    params: { team: "depot" },
    body: { changeId: "x", baseVersion: 3, keyHashes: [hash("x")] },
  });
  t.is(foreign.status, 403);
});

test("each change adds one audit entry, a repeated request adds none", async (t) => {
  const api = await createTestApi();
  const body = { topUpId: "t1", tokens: 100 };
  const params = { event: "close" };
  await api.call("topUpBudget", DEPOT, { params, body });
  await api.call("topUpBudget", DEPOT, { params, body });
  const answer = await api.call("listAudit", FLEET);
  const { entries } = answer.body as { entries: { action: string }[] };
  t.deepEqual(entries.map((entry) => entry.action), [
    "change-document",
    "change-document",
    "top-up",
  ]);
  const scan = await api.table.scan(AUDIT_PREFIX, { limit: 10 });
  t.is(scan.unsafeCoerce().rows.length, 3);
});

test("budgets and history are paged, and a section can be rolled back", async (t) => {
  const api = await createTestApi();
  const params = { section: "depot" };
  const values = ["a", "b", "c"].map((key) => ({
    container: "events",
    key,
    value: '{ "budgetTokens": 1, "customers": [], "kinds": {} }',
  }));
  await api.call("patchSection", DEPOT, {
    params,
    body: { changeId: "more", baseVersion: 1, values },
  });
  const query = { limit: "2" };
  const page = await api.call("listBudgets", DEPOT, { query });
  t.like(page.body, { next: "b" });
  const last = await api.call("listBudgets", DEPOT, {
    query: { ...query, after: "b" },
  });
  t.false("next" in (last.body as object));
  const back = await api.call("rollbackSection", DEPOT, {
    params,
    body: { changeId: "back", baseVersion: 2, toVersion: 1 },
  });
  t.like(back.body, { version: 4, sectionVersion: 3 });
  t.is(api.state.configuration.events.size, 1);
  const history = await api.call("listHistory", DEPOT, { query });
  t.like(history.body, { before: 3 });
  const missing = await api.call("rollbackSection", DEPOT, {
    params,
    body: { changeId: "far", baseVersion: 3, toVersion: 77 },
  });
  t.is(missing.status, 404);
});

test("the HTTP handler requires a key, matches routes and parses bodies", async (t) => {
  const api = await createTestApi();
  const hash = createHash("sha256").update("fleet-key").digest("hex");
  const handler = new AdminHttpHandler({
    ports: api.ports,
    readFleetKeyHashes: () => [hash],
  });
  const server = createServer((request, response) => {
    void handler.serve(request, response).then((answered) => {
      if (!answered) response.writeHead(404).end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const call = (path: string, input: { method?: string; body?: string }) =>
    fetch(`http://127.0.0.1:${port}${path}`, {
      ...input,
      headers: { authorization: "Bearer fleet-key" },
    });
  const url = `http://127.0.0.1:${port}/v1/document`;
  t.is((await fetch(url)).status, 401);
  t.is((await call("/v1/nothing", {})).status, 404);
  const path = "/v1/document/sections/depot";
  const read = await call(path, {});
  t.like(await read.json(), { version: 1, text: SECTION });
  t.is((await call(path, { method: "PUT", body: "{" })).status, 400);
  const text = SECTION.replace("500", "700");
  const body = JSON.stringify({ changeId: "raise", baseVersion: 1, text });
  const changed = await call(path, { method: "PUT", body });
  t.like(await changed.json(), { state: "accepted", version: 3 });
  const tried = await call(`${path}?dryRun=maybe`, { method: "PUT", body });
  t.is(tried.status, 400);
});

test("no request makes a route answer 500 or an error without a kind", async (t) => {
  const api = await createTestApi();
  const callers = fc.constantFrom(FLEET, DEPOT, OTHER);
  const body = fc.oneof(
    fc.jsonValue(),
    fc.record({
      changeId: fc.oneof(fc.string(), fc.constant("c")),
      baseVersion: fc.nat(4),
      text: fc.oneof(fc.string(), fc.json(), fc.constant(SECTION)),
      toVersion: fc.nat(3),
      topUpId: fc.constant("t"),
      lowerId: fc.constant("l"),
      tokens: fc.integer(),
      vm: fc.string(),
      incarnation: fc.constant("i"),
      keyHashes: fc.array(fc.string(), { maxLength: 2 }),
      values: fc.array(
        fc.record({
          container: fc.constantFrom("events", "customers", "services", "x"),
          key: fc.oneof(fc.string(), fc.constantFrom("close", "constructor")),
          value: fc.oneof(fc.string(), fc.json()),
        }),
        { maxLength: 2 },
      ),
    }, { requiredKeys: [] }),
  );
  const name = fc.oneof(
    fc.string(),
    fc.constantFrom("depot", "close", "__proto__", "1", FLEET_SECTION),
  );
  const dictionary = fc.dictionary(
    fc.constantFrom("dryRun", "limit", "after", "before", "x"),
    fc.oneof(fc.string(), fc.constantFrom("true", "-1", "1e9")),
  );
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...ADMIN_ROUTES),
      fc.record({ caller: callers, name, query: dictionary, body }),
      async (route, input) => {
        const names = ["section", "version", "team", "event", "changeId"];
        const params = Object.fromEntries(
          [...names, "digest"].map((each) => [each, input.name]),
        );
        // Unknown keys are removed, so that more bodies pass validation and the
        // requests reach the handlers.
        const knownBody = route.body === undefined
          ? input.body
          : keepKnownKeys(input.body, route.body);
        const answer = await api.call(route.name, input.caller, {
          params,
          query: input.query,
          body: knownBody,
        });
        const error = (answer.body as { error?: { kind?: string } }).error;
        t.not(answer.status, 500, JSON.stringify(answer.body));
        t.is(answer.status === 200, error === undefined);
        if (error !== undefined) t.is(typeof error.kind, "string");
      },
    ),
    { numRuns: 600, seed: 6 },
  );
});

function keepKnownKeys(body: unknown, schema: object): unknown {
  const shape = (schema as { shape?: Record<string, unknown> }).shape ?? {};
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return body;
  }
  return Object.fromEntries(
    Object.entries(body).filter(([key]) => key in shape),
  );
}

test("docs/openapi.json and docs/ADMIN_API.md match the routes", (t) => {
  const committed: unknown = JSON.parse(
    readFileSync("docs/openapi.json", "utf8"),
  );
  const generated: unknown = JSON.parse(JSON.stringify(createOpenApi()));
  t.deepEqual(committed, generated);
  const page = readFileSync("docs/ADMIN_API.md", "utf8");
  for (const { method, path, body } of ADMIN_ROUTES) {
    t.true(page.includes(`\`${method} ${path}\``), `${method} ${path}`);
    const shape = (body as { shape?: object } | undefined)?.shape ?? {};
    for (const key of Object.keys(shape)) t.true(page.includes(`\`${key}\``));
  }
});
