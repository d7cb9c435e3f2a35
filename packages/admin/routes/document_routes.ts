/**
 * Routes of the document: read, change, dry run, rollback, team keys, history,
 * and the outcome of a change.
 */
import type { z } from "zod";
import {
  type ChangeInput,
  Container,
  describeChange,
  FLEET_SECTION,
  formatSection,
  isCommitOperation,
  loadDocument,
  planChange,
  readHistory,
  readReceipt,
  readSectionText,
  type SectionEdit,
  submitChange,
  type SubmitPorts,
  type SubmitResult,
  submitRollback,
  SubmitState,
} from "../../document/mod.ts";
import {
  createAnswer,
  createForbidden,
  createNotFound,
  createRefusalAnswer,
  createStoreError,
  describeCaller,
  isAllowed,
} from "../answers.ts";
import {
  type AdminAnswer,
  AdminMethod,
  type AdminPorts,
  type AdminRequest,
  type AdminRoute,
  CallerRole,
} from "../api.ts";
import { readBudgetFacts } from "../budget_facts.ts";
import { createAuditedOperation } from "../rows/audit.ts";
import {
  CHANGE_QUERY,
  HISTORY_QUERY,
  PATCH_SECTION,
  PUT_SECTION,
  ROLLBACK,
  TEAM_KEYS,
} from "../schemas.ts";

const CHANGE_STATUSES = {
  403: "The section belongs to another team",
  409:
    "The section was changed after the base version, or the change id was already used",
  422:
    "The change is invalid; each error is listed with its location and a remedy",
  504:
    "The store's answer was lost, so the change may or may not be stored; repeat the request unchanged",
};

/** Routes of the document. */
export const DOCUMENT_ROUTES: readonly AdminRoute[] = [
  {
    name: "readDocument",
    method: AdminMethod.Get,
    path: "/v1/document",
    summary: "Versions of the document and of its sections",
    statuses: {},
    handler: readDocument,
  },
  {
    name: "readSection",
    method: AdminMethod.Get,
    path: "/v1/document/sections/:section",
    summary: "Text and version of a section",
    statuses: { 403: "The section belongs to another team" },
    handler: readSection,
  },
  {
    name: "putSection",
    method: AdminMethod.Put,
    path: "/v1/document/sections/:section",
    summary:
      "Replaces a section's text; with dryRun=true, only validates the change and returns its effects",
    body: PUT_SECTION,
    query: CHANGE_QUERY,
    statuses: CHANGE_STATUSES,
    handler: putSection,
  },
  {
    name: "patchSection",
    method: AdminMethod.Patch,
    path: "/v1/document/sections/:section",
    summary:
      "Changes entries of a section; with dryRun=true, only validates the change and returns its effects",
    body: PATCH_SECTION,
    query: CHANGE_QUERY,
    statuses: CHANGE_STATUSES,
    handler: patchSection,
  },
  {
    name: "readSectionVersion",
    method: AdminMethod.Get,
    path: "/v1/document/sections/:section/versions/:version",
    summary: "Text of a section at an earlier version",
    statuses: { 403: "The section belongs to another team" },
    handler: readSectionVersion,
  },
  {
    name: "rollbackSection",
    method: AdminMethod.Post,
    path: "/v1/document/sections/:section/rollback",
    summary: "Restores an earlier version of a section as a new version",
    body: ROLLBACK,
    statuses: CHANGE_STATUSES,
    handler: rollbackSection,
  },
  {
    name: "changeTeamKeys",
    method: AdminMethod.Put,
    path: "/v1/teams/:team/keys",
    summary: "Replaces a team's key hashes; a team may replace its own",
    body: TEAM_KEYS,
    statuses: CHANGE_STATUSES,
    handler: changeTeamKeys,
  },
  {
    name: "listHistory",
    method: AdminMethod.Get,
    path: "/v1/document/history",
    summary: "Accepted changes, newest first",
    query: HISTORY_QUERY,
    statuses: {},
    handler: listHistory,
  },
  {
    name: "readChange",
    method: AdminMethod.Get,
    path: "/v1/document/changes/:changeId",
    summary: "Version and section of an accepted change, by its id",
    statuses: {},
    handler: readChange,
  },
];

function readDocument(
  _request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const state = ports.readDocument();
  const sections = [...state.sections]
    .map(([section, { version }]) => ({ section, version }))
    .sort((left, right) => left.section < right.section ? -1 : 1);
  return Promise.resolve(createAnswer({ version: state.version, sections }));
}

function readSection(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const section = request.params.section ?? "";
  if (!isAllowed(request.caller, section)) {
    return Promise.resolve(createForbidden(`team ${section}`));
  }
  const state = ports.readDocument().sections.get(section);
  if (state === undefined) {
    return Promise.resolve(createNotFound(`section ${section}`));
  }
  const text = formatSection(state).orDefault("");
  const { version } = state;
  return Promise.resolve(createAnswer({ section, version, text }));
}

function putSection(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const { text, ...body } = request.body as z.infer<typeof PUT_SECTION>;
  return changeSection(request, ports, { ...body, edit: { text } });
}

function patchSection(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const { values, ...body } = request.body as z.infer<typeof PATCH_SECTION>;
  const edit = {
    values: values.map(({ container, key, value }) =>
      value === undefined ? { container, key } : { container, key, value }
    ),
  };
  return changeSection(request, ports, { ...body, edit });
}

async function changeSection(
  request: AdminRequest,
  ports: AdminPorts,
  input: {
    readonly changeId: string;
    readonly baseVersion: number;
    readonly edit: SectionEdit;
  },
): Promise<AdminAnswer> {
  const section = request.params.section ?? "";
  if (!isAllowed(request.caller, section)) {
    return createForbidden(`team ${section}`);
  }
  const change = createChangeInput(request, ports, { ...input, section });
  if (request.query.dryRun === "true") return await runDryRun(ports, change);
  const submitPorts = createSubmitPorts(request, ports, change.section);
  const result = await submitChange(submitPorts, ports.readDocument(), change);
  return finishSubmit(ports, result);
}

/** Plans a change on the newest document and returns its effects. */
async function runDryRun(
  ports: AdminPorts,
  input: ChangeInput,
): Promise<AdminAnswer> {
  const loaded = await loadDocument(ports.reader, ports.readDocument());
  if (loaded.isLeft()) {
    return createStoreError(loaded.swap().unsafeCoerce());
  }
  const { state } = loaded.unsafeCoerce();
  const planned = planChange(state, input);
  if (planned.isLeft()) {
    return createRefusalAnswer(planned.swap().unsafeCoerce());
  }
  const plan = planned.unsafeCoerce();
  const facts = await readBudgetFacts(ports.reader, {
    before: state.configuration,
    after: plan.next.configuration,
    events: plan.entries
      .filter((entry) => entry.container === Container.Events)
      .map((entry) => entry.key),
  });
  return facts.caseOf({
    Left: createStoreError,
    Right: (budgets) =>
      createAnswer({
        dryRun: true,
        effects: describeChange(state, plan, (event) => budgets.get(event)),
        sectionVersion: plan.section.version,
      }),
  });
}

async function rollbackSection(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const section = request.params.section ?? "";
  if (!isAllowed(request.caller, section)) {
    return createForbidden(`team ${section}`);
  }
  const body = request.body as z.infer<typeof ROLLBACK>;
  const read = await readSectionText(ports.reader, section, body.toVersion);
  if (read.isLeft()) return createStoreError(read.swap().unsafeCoerce());
  if (read.unsafeCoerce() === undefined) {
    return createNotFound(`version ${body.toVersion} of section ${section}`);
  }
  const result = await submitRollback(
    createSubmitPorts(request, ports, section),
    ports.readDocument(),
    {
      ...body,
      section,
      author: describeCaller(request.caller),
      wallTime: ports.readWallTime(),
    },
  );
  return finishSubmit(ports, result);
}

async function changeTeamKeys(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const team = request.params.team ?? "";
  if (!isAllowed(request.caller, team)) return createForbidden(`team ${team}`);
  if (!ports.readDocument().configuration.teams.has(team)) {
    return createNotFound(`team ${team}`);
  }
  const body = request.body as z.infer<typeof TEAM_KEYS>;
  const { changeId, baseVersion, keyHashes } = body;
  const value = JSON.stringify({ keyHashes });
  const edit = { values: [{ container: Container.Teams, key: team, value }] };
  const section = FLEET_SECTION;
  const change = { changeId, baseVersion, edit, section };
  const result = await submitChange(
    createSubmitPorts(request, ports, `teams/${team}`),
    ports.readDocument(),
    createChangeInput(request, ports, change),
  );
  return finishSubmit(ports, redactForTeam(request, result));
}

/**
 * Removes the fleet section's current text and differences from a refusal sent to
 * a team, since they contain the key hashes of other teams.
 */
function redactForTeam(
  request: AdminRequest,
  result: SubmitResult,
): SubmitResult {
  const isFleet = request.caller.role === CallerRole.Fleet;
  if (isFleet || result.state !== SubmitState.Refused) return result;
  const { current, ...refusal } = result.refusal;
  const redacted = current && { version: current.version, text: "" };
  return {
    ...result,
    refusal: {
      ...refusal,
      differences: [],
      ...(redacted && { current: redacted }),
    },
  };
}

async function readSectionVersion(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const section = request.params.section ?? "";
  if (!isAllowed(request.caller, section)) {
    return createForbidden(`team ${section}`);
  }
  const version = Number(request.params.version);
  const itemName = `version ${request.params.version} of section ${section}`;
  if (!Number.isSafeInteger(version) || version < 1) {
    return createNotFound(itemName);
  }
  const read = await readSectionText(ports.reader, section, version);
  return read.caseOf({
    Left: createStoreError,
    Right: (text) =>
      text === undefined
        ? createNotFound(itemName)
        : createAnswer({ section, version, text }),
  });
}

async function listHistory(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const query = HISTORY_QUERY.parse(request.query);
  const newest = ports.readDocument().version + 1;
  const before = Math.min(query.before ?? newest, newest);
  const read = await readHistory(ports.reader, { before, limit: query.limit });
  return read.caseOf({
    Left: createStoreError,
    Right: (rows) => {
      // The edits are omitted: callers may not read other teams' entries.
      const changes = rows.map((row) => ({
        version: row.version,
        changeId: row.changeId,
        section: row.section,
        sectionVersion: row.sectionVersion,
        author: row.author,
        at: row.at,
        effects: row.effects,
      }));
      const oldest = rows.at(-1)?.version ?? 1;
      return createAnswer(
        oldest > 1 ? { changes, before: oldest } : { changes },
      );
    },
  });
}

async function readChange(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const changeId = request.params.changeId ?? "";
  const read = await readReceipt(ports.reader, changeId);
  return read.caseOf({
    Left: createStoreError,
    Right: (receipt) =>
      receipt === undefined
        ? createNotFound(`accepted change ${changeId}`)
        : createAnswer({
          changeId,
          version: receipt.version,
          section: receipt.section,
        }),
  });
}

function createChangeInput(
  request: AdminRequest,
  ports: AdminPorts,
  input: Omit<ChangeInput, "author" | "wallTime">,
): ChangeInput {
  return {
    ...input,
    author: describeCaller(request.caller),
    wallTime: ports.readWallTime(),
  };
}

/** Returns ports that add an audit entry to the transaction of a commit. */
function createSubmitPorts(
  request: AdminRequest,
  ports: AdminPorts,
  target: string,
): SubmitPorts {
  const entry = {
    at: ports.readWallTime(),
    who: describeCaller(request.caller),
    action: "change-document",
    target,
    id: request.requestId,
  };
  const { requestId } = request;
  return {
    reader: ports.reader,
    run: (operation) =>
      ports.run(
        isCommitOperation(operation)
          ? createAuditedOperation(operation, { entry, requestId })
          : operation,
      ),
  };
}

function finishSubmit(ports: AdminPorts, result: SubmitResult): AdminAnswer {
  switch (result.state) {
    case SubmitState.Refused:
      return createRefusalAnswer(result.refusal);
    case SubmitState.NotDone:
    case SubmitState.Unknown:
      return createStoreError(result.error);
    case SubmitState.Accepted:
    case SubmitState.AcceptedBefore: {
      ports.applyDocument(result.document, result.change);
      const { state, version, change } = result;
      return createAnswer({
        state,
        version,
        ...(change === undefined ? {} : {
          sectionVersion: change.sectionVersion,
          effects: change.effects,
        }),
      });
    }
  }
}
