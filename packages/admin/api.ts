/** What a handler of the administration API is given and what it answers. */
import type { Either } from "purify-ts";
import type { z } from "zod";
import type { LossEvidence } from "../budget/mod.ts";
import type {
  BodyDigest,
  Incarnation,
  JsonValue,
  PlatformError,
  RowOperation,
  TeamId,
  VmId,
  WallTime,
} from "../core/mod.ts";
import type {
  ChangeRow,
  DocumentReader,
  DocumentState,
} from "../document/mod.ts";
import type { MembershipView } from "../membership/mod.ts";
import type { QuarantineEntry } from "../routing/mod.ts";

/** Who calls: a team, or the operators of the fleet as a whole. */
export type Caller =
  | { readonly role: CallerRole.Team; readonly team: TeamId }
  | { readonly role: CallerRole.Fleet };

/** What a caller may do. */
export enum CallerRole {
  /** Edits its own section and its own events' budgets. */
  Team = "team",
  /** Edits every section, and the list of teams. */
  Fleet = "fleet",
}

/** One request as a handler sees it. */
export interface AdminRequest {
  readonly caller: Caller;
  /** Named parts of the path, decoded. */
  readonly params: Readonly<Record<string, string>>;
  /** Parts of the query, each once. */
  readonly query: Readonly<Record<string, string>>;
  /** The parsed JSON body; undefined when there was none. */
  readonly body: unknown;
  /** Unique id of this request, for the audit trail. */
  readonly requestId: string;
}

/** The answer, sent as JSON. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: JsonValue;
}

/** What handlers need from the daemon. */
export interface AdminPorts {
  /** Reads rows; the table port fits. */
  readonly reader: DocumentReader;
  /** Carries out a row operation durably. */
  readonly run: <Result>(
    operation: RowOperation<Result>,
  ) => Promise<Either<PlatformError, Result>>;
  /** Returns the document in force on this VM. */
  readonly readDocument: () => DocumentState;
  /** Puts a newer document in force; an older one is ignored. */
  readonly applyDocument: (
    state: DocumentState,
    change: ChangeRow | undefined,
  ) => void;
  readonly readView: () => MembershipView;
  readonly listQuarantine: () => readonly QuarantineEntry[];
  readonly releaseQuarantine: (digest: BodyDigest) => void;
  /** Returns the evidence that a VM's life is over; undefined without any. */
  readonly findLossEvidence: (
    vm: VmId,
    incarnation: Incarnation,
  ) => Promise<Either<PlatformError, LossEvidence | undefined>>;
  readonly readWallTime: () => WallTime;
}

/** Methods that routes use. */
export enum AdminMethod {
  Get = "GET",
  Put = "PUT",
  Patch = "PATCH",
  Post = "POST",
}

/** Answers one request. */
export type AdminHandler = (
  request: AdminRequest,
  ports: AdminPorts,
) => Promise<AdminAnswer>;

/** One route of the API. */
export interface AdminRoute {
  /** Unique name, the operation id of the description. */
  readonly name: string;
  readonly method: AdminMethod;
  /** Path as find-my-way takes it, such as `/v1/events/:event`. */
  readonly path: string;
  readonly summary: string;
  readonly body?: z.ZodType;
  readonly query?: z.ZodObject;
  /** Statuses other than 200 and the ones that every route may answer. */
  readonly statuses: Readonly<Record<number, string>>;
  readonly handler: AdminHandler;
}
