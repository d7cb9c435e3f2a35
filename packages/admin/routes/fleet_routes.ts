/** Routes of the fleet: members, document status, quarantine, audit trail. */
import type { Row, WallTime } from "../../core/mod.ts";
import {
  HEARTBEAT_INTERVAL,
  HEARTBEAT_PREFIX,
  type HeartbeatRow,
  parseHeartbeat,
} from "../../membership/mod.ts";
import {
  createAnswer,
  createNotFound,
  createStoreError,
  describeCaller,
} from "../answers.ts";
import {
  type AdminAnswer,
  AdminMethod,
  type AdminPorts,
  type AdminRequest,
  type AdminRoute,
} from "../api.ts";
import {
  AUDIT_PREFIX,
  AUDIT_SCHEMA,
  createAuditEntryOperation,
} from "../rows/audit.ts";
import { PAGE_QUERY } from "../schemas.ts";

/** Number of missed heartbeats after which a VM is reported as silent. */
const SILENT_AFTER_HEARTBEATS = 3;

const SCAN_PAGE_SIZE = 100;

/** Routes of the fleet. */
export const FLEET_ROUTES: readonly AdminRoute[] = [
  {
    name: "listMembers",
    method: AdminMethod.Get,
    path: "/v1/members",
    summary: "Entry VMs in this VM's membership view",
    statuses: {},
    handler: listMembers,
  },
  {
    name: "readDocumentStatus",
    method: AdminMethod.Get,
    path: "/v1/document/status",
    summary:
      "Document version in effect on each VM, how many versions it is behind, and VMs that miss heartbeats",
    statuses: {},
    handler: readDocumentStatus,
  },
  {
    name: "listQuarantine",
    method: AdminMethod.Get,
    path: "/v1/quarantine",
    summary: "Requests that crash targets, by body digest",
    statuses: {},
    handler: listQuarantine,
  },
  {
    name: "releaseQuarantine",
    method: AdminMethod.Post,
    path: "/v1/quarantine/:digest/release",
    summary:
      "Releases a request from quarantine, so that it may be sent to targets again",
    statuses: {},
    handler: releaseQuarantine,
  },
  {
    name: "listAudit",
    method: AdminMethod.Get,
    path: "/v1/audit",
    summary: "Audit trail of changes, oldest first, paginated",
    query: PAGE_QUERY,
    statuses: {},
    handler: listAudit,
  },
];

function listMembers(
  _request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const members = [...ports.readView().members.values()]
    .map(({ heardAt: _, ...member }) => member)
    .sort((left, right) => left.vm < right.vm ? -1 : 1);
  return Promise.resolve(createAnswer({ members }));
}

async function readDocumentStatus(
  _request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const rows: Row[] = [];
  let after: string | undefined;
  do {
    const options = { limit: SCAN_PAGE_SIZE, ...(after && { after }) };
    const answer = await ports.reader.scan(HEARTBEAT_PREFIX, options);
    if (answer.isLeft()) {
      return createStoreError(answer.swap().unsafeCoerce());
    }
    const page = answer.unsafeCoerce();
    rows.push(...page.rows);
    after = page.next;
  } while (after !== undefined);
  const { version } = ports.readDocument();
  const now = ports.readWallTime();
  const vms = rows
    .flatMap((row) => parseHeartbeat(row.value).toMaybe().extract() ?? [])
    .map((row) => describeVm(row, { ports, version, now }))
    .sort((left, right) => left.vm < right.vm ? -1 : 1);
  return createAnswer({
    version,
    vms,
    behind: vms.filter((vm) => vm.behind > 0).map((vm) => vm.vm),
    silent: vms.filter((vm) => vm.silent).map((vm) => vm.vm),
  });
}

function describeVm(
  row: HeartbeatRow,
  input: {
    readonly ports: AdminPorts;
    readonly version: number;
    readonly now: WallTime;
  },
) {
  const member = input.ports.readView().members.get(row.vm);
  const gossipedVersion = member?.incarnation === row.incarnation
    ? member.documentVersion
    : 0;
  const version = Math.max(row.documentVersion, gossipedVersion);
  const age = input.now - row.at;
  return {
    vm: row.vm,
    state: member?.state ?? row.state,
    version,
    behind: Math.max(0, input.version - version),
    heartbeatAgeMillis: age,
    silent: age > SILENT_AFTER_HEARTBEATS * HEARTBEAT_INTERVAL,
  };
}

function listQuarantine(
  _request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const items = ports.listQuarantine();
  return Promise.resolve(createAnswer({ items }));
}

/**
 * Releases a request from quarantine. Writes the audit entry first, so that no
 * release remains unrecorded.
 */
async function releaseQuarantine(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const digest = request.params.digest ?? "";
  const known = ports.listQuarantine().some((each) => each.digest === digest);
  if (!known) return createNotFound(`quarantined digest ${digest}`);
  const entry = {
    at: ports.readWallTime(),
    who: describeCaller(request.caller),
    action: "release-quarantine",
    target: digest,
    id: request.requestId,
  };
  const { requestId } = request;
  const written = await ports.run(
    createAuditEntryOperation({ entry, requestId }),
  );
  if (written.isLeft()) {
    return createStoreError(written.swap().unsafeCoerce());
  }
  ports.releaseQuarantine(digest);
  return createAnswer({ digest, released: true });
}

async function listAudit(
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const { after, limit } = PAGE_QUERY.parse(request.query);
  const options = { limit, ...(after !== "" && { after }) };
  const answer = await ports.reader.scan(AUDIT_PREFIX, options);
  return answer.caseOf({
    Left: createStoreError,
    Right: ({ rows, next }) => {
      const entries = rows
        .map((row) => AUDIT_SCHEMA.safeParse(row.value))
        .flatMap((parsed) => parsed.success ? [parsed.data] : []);
      return createAnswer(next === undefined ? { entries } : { entries, next });
    },
  });
}
