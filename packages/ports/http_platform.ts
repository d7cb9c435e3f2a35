/**
 * HTTP adapters for the platform's services: the store of rows, the object
 * store and the VM list.
 */
import { Agent } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import {
  type Millis,
  type PlatformError,
  PlatformErrorKind,
  type Row,
} from "../core/mod.ts";
import {
  type HttpFailure,
  sendJsonRequest,
  sendRequest,
} from "./http_client.ts";
import type { ObjectPort } from "./object_port.ts";
import type {
  RowPage,
  TablePort,
  TableTransaction,
  TransactionAnswer,
} from "./table_port.ts";
import {
  type ListedVm,
  ListedVmState,
  type VmListPort,
} from "./vm_list_port.ts";

const ROW_SCHEMA = z.object({
  key: z.string(),
  version: z.number().int().positive(),
  value: z.json(),
});
const ROWS_SCHEMA = z.object({ rows: z.array(ROW_SCHEMA) });
const PAGE_SCHEMA = z.object({
  rows: z.array(ROW_SCHEMA),
  next: z.string().optional(),
});
const CONFLICT_SCHEMA = z.object({ conflicts: z.array(z.string()) });
const VM_LIST_SCHEMA = z.object({
  vms: z.array(z.object({
    id: z.string(),
    address: z.string(),
    state: z.enum(ListedVmState),
  })),
});

/** Address, timeout and credentials of one service. */
export interface HttpServiceOptions {
  /** Base URL without a trailing slash. */
  readonly url: string;
  /** Maximum time without data from the service, and to connect to it. */
  readonly timeout: Millis;
  /** Bearer token, if the service requires one. */
  readonly token?: string;
}

const MAX_SOCKETS = 16;

/** HTTP client for one service, shared by the adapters below. */
class ServiceClient {
  readonly #options: HttpServiceOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });

  constructor(options: HttpServiceOptions) {
    this.#options = options;
  }

  createHeaders(): Record<string, string> {
    const { token } = this.#options;
    return token === undefined ? {} : { authorization: `Bearer ${token}` };
  }

  /** Sends JSON; returns an error for any status other than 200 and 409. */
  async call(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<Either<PlatformError, { status: number; body: unknown }>> {
    const answer = await sendJsonRequest({
      method,
      url: `${this.#options.url}${path}`,
      headers: this.createHeaders(),
      idleTimeout: this.#options.timeout,
      connectTimeout: this.#options.timeout,
      agent: this.#agent,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return answer.mapLeft(createTransportError).chain((received) =>
      checkStatus(received.status).map(() => received)
    );
  }

  /** Sends raw bytes and returns the status and body of any answer. */
  async exchange(
    method: "GET" | "PUT",
    path: string,
    body?: Uint8Array,
  ): Promise<Either<PlatformError, { status: number; body: Uint8Array }>> {
    const answer = await sendRequest({
      method,
      url: `${this.#options.url}${path}`,
      headers: this.createHeaders(),
      idleTimeout: this.#options.timeout,
      connectTimeout: this.#options.timeout,
      agent: this.#agent,
      ...(body === undefined ? {} : { body }),
    });
    return answer.mapLeft(createTransportError);
  }
}

/** Implements the table port over HTTP. */
export class HttpTable implements TablePort {
  readonly #client: ServiceClient;

  constructor(options: HttpServiceOptions) {
    this.#client = new ServiceClient(options);
  }

  async read(
    keys: readonly string[],
  ): Promise<Either<PlatformError, readonly Row[]>> {
    const answer = await this.#client.call("POST", "/v1/read", { keys });
    return answer
      .chain((received) => parseAnswer(ROWS_SCHEMA, received.body))
      .map((body) => body.rows as readonly Row[]);
  }

  async scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): Promise<Either<PlatformError, RowPage>> {
    const answer = await this.#client.call("POST", "/v1/scan", {
      prefix,
      ...options,
    });
    return answer
      .chain((received) => parseAnswer(PAGE_SCHEMA, received.body))
      .map((body) => body as RowPage);
  }

  async transact(
    transaction: TableTransaction,
  ): Promise<Either<PlatformError, TransactionAnswer>> {
    const answer = await this.#client.call("POST", "/v1/transact", transaction);
    return answer.chain(
      (received): Either<PlatformError, TransactionAnswer> => {
        if (received.status === 200) return Right({ committed: true });
        return parseAnswer(CONFLICT_SCHEMA, received.body)
          .map((body) => ({ committed: false, conflicts: body.conflicts }));
      },
    );
  }
}

/** Implements the object store port over HTTP. */
export class HttpObjectStore implements ObjectPort {
  readonly #client: ServiceClient;

  constructor(options: HttpServiceOptions) {
    this.#client = new ServiceClient(options);
  }

  async get(
    key: string,
  ): Promise<Either<PlatformError, Uint8Array | undefined>> {
    const path = `/v1/objects/${encodeURIComponent(key)}`;
    const answer = await this.#client.exchange("GET", path);
    return answer.chain(({ status, body }) => {
      if (status === 404) return Right(undefined);
      return checkStatus(status).map(() => body);
    });
  }

  async put(
    key: string,
    body: Uint8Array,
  ): Promise<Either<PlatformError, void>> {
    const path = `/v1/objects/${encodeURIComponent(key)}`;
    const answer = await this.#client.exchange("PUT", path, body);
    return answer.chain(({ status }) => checkStatus(status));
  }
}

/** Implements the VM list port over HTTP. */
export class HttpVmList implements VmListPort {
  readonly #client: ServiceClient;

  constructor(options: HttpServiceOptions) {
    this.#client = new ServiceClient(options);
  }

  async list(): Promise<Either<PlatformError, readonly ListedVm[]>> {
    const answer = await this.#client.call("GET", "/v1/vms");
    return answer
      .chain((received) => parseAnswer(VM_LIST_SCHEMA, received.body))
      .map((body) => body.vms);
  }
}

const REMEDIES: Readonly<Record<PlatformErrorKind, string>> = {
  [PlatformErrorKind.NotDone]:
    "Nothing was done. Check that the service is up and its URL is right; the daemon tries again.",
  [PlatformErrorKind.Throttled]:
    "Nothing was done. The service asks for fewer requests; the daemon slows down.",
  [PlatformErrorKind.AnswerLost]:
    "It may have been done. The daemon reads the rows back before it tries again.",
  [PlatformErrorKind.BadAnswer]:
    "Check that the URL belongs to this service and that its version is supported.",
};

/** Creates a platform error with the standard remedy text for its kind. */
export function createPlatformError(
  kind: PlatformErrorKind,
  message: string,
): PlatformError {
  return { kind, message, remedy: REMEDIES[kind] };
}

function createTransportError(failure: HttpFailure): PlatformError {
  const kind = failure.sent
    ? PlatformErrorKind.AnswerLost
    : PlatformErrorKind.NotDone;
  return createPlatformError(kind, failure.detail);
}

function checkStatus(status: number): Either<PlatformError, void> {
  if (status === 200 || status === 409) return Right(undefined);
  if (status === 429) {
    return Left(createPlatformError(PlatformErrorKind.Throttled, "status 429"));
  }
  // The protocol guarantees that nothing was done when the status is 503.
  const kind = status === 503
    ? PlatformErrorKind.NotDone
    : status >= 500
    ? PlatformErrorKind.AnswerLost
    : PlatformErrorKind.BadAnswer;
  return Left(createPlatformError(kind, `status ${status}`));
}

function parseAnswer<Value>(
  schema: z.ZodType<Value>,
  body: unknown,
): Either<PlatformError, Value> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return Right(parsed.data);
  const message = z.prettifyError(parsed.error).replaceAll("\n", " ");
  return Left(createPlatformError(PlatformErrorKind.BadAnswer, message));
}
