/** Routes of events and budgets: list, read, top up, lower, write off. */
import type { z } from "zod";
import {
  computeBudgetLeft,
  computeGranted,
  createLowerLimit,
  createTopUp,
  createWriteOff,
  formatBudgetKey,
  parseBudgetRow,
} from "../../budget/mod.ts";
import type { EventConfig, Row, RowOperation } from "../../core/mod.ts";
import {
  AdminErrorKind,
  createAnswer,
  createErrorAnswer,
  createForbidden,
  createNotFound,
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
} from "../api.ts";
import { listPage } from "../paging.ts";
import { createAuditedOperation } from "../rows/audit.ts";
import { LOWERING, PAGE_QUERY, TOP_UP, WRITE_OFF } from "../schemas.ts";

const CHANGE_STATUSES = {
  403: "The event belongs to another team",
  504:
    "The store's answer was lost, so the change may or may not be stored; repeat the request unchanged",
};

/** Routes of events and budgets. */
export const BUDGET_ROUTES: readonly AdminRoute[] = [
  {
    name: "listEvents",
    method: AdminMethod.Get,
    path: "/v1/events",
    summary: "Events in the current document, paginated",
    query: PAGE_QUERY,
    statuses: {},
    handler: listEvents,
  },
  {
    name: "readEvent",
    method: AdminMethod.Get,
    path: "/v1/events/:event",
    summary: "One event of the current document",
    statuses: {},
    handler: readEvent,
  },
  {
    name: "listBudgets",
    method: AdminMethod.Get,
    path: "/v1/budgets",
    summary: "Budgets with their spent and granted tokens, paginated",
    query: PAGE_QUERY,
    statuses: {},
    handler: listBudgets,
  },
  {
    name: "readBudget",
    method: AdminMethod.Get,
    path: "/v1/budgets/:event",
    summary: "One budget with its open grants and write-offs",
    statuses: {},
    handler: readBudget,
  },
  {
    name: "topUpBudget",
    method: AdminMethod.Post,
    path: "/v1/budgets/:event/top-ups",
    summary: "Raises a budget's limit; takes effect once per top-up id",
    body: TOP_UP,
    statuses: CHANGE_STATUSES,
    handler: topUpBudget,
  },
  {
    name: "lowerBudget",
    method: AdminMethod.Post,
    path: "/v1/budgets/:event/lowerings",
    summary:
      "Lowers a budget's limit, but not below the spent and granted tokens; repeat the request with the same id to lower it by the rest",
    body: LOWERING,
    statuses: CHANGE_STATUSES,
    handler: lowerBudget,
  },
  {
    name: "writeOffGrants",
    method: AdminMethod.Post,
    path: "/v1/budgets/:event/write-offs",
    summary:
      "Writes off the grants of a VM's incarnation once there is evidence that it has ended",
    body: WRITE_OFF,
    statuses: {
      ...CHANGE_STATUSES,
      409: "There is no evidence yet that this incarnation of the VM has ended",
    },
    handler: writeOffGrants,
  },
];

function listEvents(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const { events } = ports.readDocument().configuration;
  const page = listPage(events, PAGE_QUERY.parse(request.query));
  const items = page.items.map(describeEvent);
  return Promise.resolve(createAnswer({ ...page, items }));
}

function readEvent(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const event = findEvent(request, ports);
  if (event === undefined) return Promise.resolve(createEventNotFound(request));
  const kinds = [...event.kinds.values()].map((kind) => ({ ...kind }));
  return Promise.resolve(createAnswer({ ...describeEvent(event), kinds }));
}

async function listBudgets(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const { events } = ports.readDocument().configuration;
  const page = listPage(events, PAGE_QUERY.parse(request.query));
  const keys = page.items.map((event) => formatBudgetKey(event.id));
  const rows = await readRows(ports, keys);
  return rows.caseOf({
    Left: createStoreError,
    Right: (found) => {
      const items = page.items.map((event) =>
        describeBudget(event, found.get(formatBudgetKey(event.id)))
      );
      return createAnswer({ ...page, items });
    },
  });
}

async function readBudget(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const event = findEvent(request, ports);
  if (event === undefined) return createEventNotFound(request);
  const key = formatBudgetKey(event.id);
  const rows = await readRows(ports, [key]);
  return rows.caseOf({
    Left: createStoreError,
    Right: (found) => {
      const row = found.get(key);
      const budget = row && parseBudgetRow(row.value).toMaybe().extract();
      return createAnswer({
        ...describeBudget(event, row),
        grants: budget?.grants ?? {},
        writeOffs: budget?.writeOffs ?? {},
      });
    },
  });
}

function topUpBudget(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const body = request.body as z.infer<typeof TOP_UP>;
  return changeBudget(request, ports, {
    action: "top-up",
    id: body.topUpId,
    createOperation: (event) =>
      createTopUp({
        eventId: event.id,
        topUpId: body.topUpId,
        tokens: body.tokens,
        initialLimit: event.budgetTokens,
        wallTime: ports.readWallTime(),
      }),
  });
}

function lowerBudget(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const body = request.body as z.infer<typeof LOWERING>;
  return changeBudget(request, ports, {
    action: "lower",
    id: body.lowerId,
    createOperation: (event) =>
      createLowerLimit({
        eventId: event.id,
        lowerId: body.lowerId,
        tokens: body.tokens,
        initialLimit: event.budgetTokens,
        wallTime: ports.readWallTime(),
      }),
  });
}

async function writeOffGrants(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const { vm, incarnation } = request.body as z.infer<typeof WRITE_OFF>;
  const event = findEvent(request, ports);
  if (event === undefined) return createEventNotFound(request);
  const found = await ports.findLossEvidence(vm, incarnation);
  if (found.isLeft()) return createStoreError(found.swap().unsafeCoerce());
  const evidence = found.unsafeCoerce();
  if (evidence === undefined) return createConflict(`VM ${vm} may still run.`);
  const operation = createWriteOff({
    eventId: event.id,
    evidence,
    initialLimit: event.budgetTokens,
    wallTime: ports.readWallTime(),
  });
  if (operation.isLeft()) {
    return createConflict(operation.swap().unsafeCoerce().message);
  }
  return await changeBudget(request, ports, {
    action: "write-off",
    id: `${vm}/${incarnation}`,
    createOperation: () => operation.unsafeCoerce(),
  });
}

async function changeBudget<Result>(
  request: AdminRequest,
  ports: AdminPorts,
  input: {
    readonly action: string;
    readonly id: string;
    readonly createOperation: (event: EventConfig) => RowOperation<Result>;
  },
): Promise<AdminAnswer> {
  const event = findEvent(request, ports);
  if (event === undefined) return createEventNotFound(request);
  if (!isAllowed(request.caller, event.team)) {
    return createForbidden(`team ${event.team}`);
  }
  const entry = {
    at: ports.readWallTime(),
    who: describeCaller(request.caller),
    action: input.action,
    target: `events/${event.id}`,
    id: input.id,
  };
  const { requestId } = request;
  const operation = input.createOperation(event);
  const answer = await ports.run(
    createAuditedOperation(operation, { entry, requestId }),
  );
  return answer.caseOf({ Left: createStoreError, Right: createAnswer });
}

function findEvent(
  request: AdminRequest,
  ports: AdminPorts,
): EventConfig | undefined {
  const { events } = ports.readDocument().configuration;
  return events.get(request.params.event ?? "");
}

function createEventNotFound(request: AdminRequest): AdminAnswer {
  return createNotFound(`event ${request.params.event}`);
}

function createConflict(message: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.Conflict,
    message,
    remedy:
      "Wait until the VM has been missing from the platform's VM list for long enough, or until a later incarnation of it has started.",
  });
}

/**
 * Returns rows by key. Reads the keys in two halves, since a page may have twice
 * as many items as one read of the store may have keys.
 */
async function readRows(ports: AdminPorts, keys: readonly string[]) {
  const half = Math.ceil(keys.length / 2);
  const first = await ports.reader.read(keys.slice(0, half));
  const second = half < keys.length
    ? await ports.reader.read(keys.slice(half))
    : first.map((): readonly Row[] => []);
  return first.chain((rows) =>
    second.map((more) =>
      new Map([...rows, ...more].map((row) => [row.key, row]))
    )
  );
}

function describeEvent(event: EventConfig) {
  const { id, team, budgetTokens, lean, customers, homes } = event;
  return { id, team, budgetTokens, lean, customers, homes };
}

function describeBudget(event: EventConfig, row: Row | undefined) {
  const { id, team, budgetTokens } = event;
  const base = { event: id, team, startLimit: budgetTokens };
  const budget = row && parseBudgetRow(row.value).toMaybe().extract();
  if (budget === undefined) {
    const damaged = row !== undefined;
    return { ...base, limit: budgetTokens, closed: 0, granted: 0, damaged };
  }
  return {
    ...base,
    limit: budget.limit,
    closed: budget.closed,
    granted: computeGranted(budget),
    left: computeBudgetLeft(budget),
    writtenOff: budget.writtenOff ?? 0,
  };
}
