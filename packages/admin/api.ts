/**
 * Types of the administration API: requests, answers, routes, and what handlers
 * need from the daemon.
 */
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

/** An authenticated caller: a team, or the operators of the whole fleet. */
export type Caller =
  | { readonly role: CallerRole.Team; readonly team: TeamId }
  | { readonly role: CallerRole.Fleet };

/** Role of a caller; decides what it may read and change. */
export enum CallerRole {
  /** May change its own section, its own keys and its own events' budgets. */
  Team = "team",
  /** May change every section and budget, and the list of teams. */
  Fleet = "fleet",
}

/** An authenticated request as a handler receives it. */
export interface AdminRequest {
  readonly caller: Caller;
  /** Path parameters by name, decoded. */
  readonly params: Readonly<Record<string, string>>;
  /** Query parameters, one value for each name. */
  readonly query: Readonly<Record<string, string>>;
  /** The parsed JSON body; undefined when there was none. */
  readonly body: unknown;
  /** Unique id of this request, for the audit trail. */
  readonly requestId: string;
}

/** A handler's answer; the body is sent as JSON. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: JsonValue;
}

/** Operations of the daemon that handlers use. */
export interface AdminPorts {
  /** Reads rows of the store; the table port satisfies this interface. */
  readonly reader: DocumentReader;
  /** Runs a row operation; returns its result once it is durable. */
  readonly run: <Result>(
    operation: RowOperation<Result>,
  ) => Promise<Either<PlatformError, Result>>;
  /** Returns the document in effect on this VM. */
  readonly readDocument: () => DocumentState;
  /** Applies a document if it is newer than the one in effect. */
  readonly applyDocument: (
    state: DocumentState,
    change: ChangeRow | undefined,
  ) => void;
  readonly readView: () => MembershipView;
  readonly listQuarantine: () => readonly QuarantineEntry[];
  readonly releaseQuarantine: (digest: BodyDigest) => void;
  /** Returns evidence that a VM's incarnation has ended; undefined if none. */
  readonly findLossEvidence: (
    vm: VmId,
    incarnation: Incarnation,
  ) => Promise<Either<PlatformError, LossEvidence | undefined>>;
  readonly readWallTime: () => WallTime;
}

/** HTTP methods that routes use. */
export enum AdminMethod {
  Get = "GET",
  Put = "PUT",
  Patch = "PATCH",
  Post = "POST",
}

/** Answers requests of one route. */
export type AdminHandler = (
  request: AdminRequest,
  ports: AdminPorts,
) => Promise<AdminAnswer>;

/** One route of the API. */
export interface AdminRoute {
  /** Unique name; the operation id in the OpenAPI description. */
  readonly name: string;
  readonly method: AdminMethod;
  /** Path in the syntax of find-my-way, such as `/v1/events/:event`. */
  readonly path: string;
  readonly summary: string;
  readonly body?: z.ZodType;
  readonly query?: z.ZodObject;
  /** Descriptions, by status, of statuses that not every route may answer. */
  readonly statuses: Readonly<Record<number, string>>;
  readonly handler: AdminHandler;
}
