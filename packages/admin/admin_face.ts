/** Serves the routes over Node's http: finds the route, the caller, the body. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import createRouter from "find-my-way";
import { type Either, Left, Right } from "purify-ts";
import readRawBody from "raw-body";
import { type Bytes, BYTES_PER_MIB } from "../core/mod.ts";
import { AdminErrorKind, createErrorAnswer } from "./answers.ts";
import type {
  AdminAnswer,
  AdminPorts,
  AdminRequest,
  AdminRoute,
  Caller,
} from "./api.ts";
import { findCaller, parseBearer } from "./authenticate.ts";
import { ADMIN_ROUTES, runRoute } from "./run_route.ts";

/** Largest body; a section of 80,000 events is well below it. */
export const MAX_ADMIN_BODY: Bytes = 64 * BYTES_PER_MIB;

/** Longest part of a path, in characters, encoded. */
const MAX_PARAMETER_LENGTH = 512;

/** What the face needs. */
export interface AdminFaceOptions {
  readonly ports: AdminPorts;
  /** Returns the hashes of the keys of the fleet's operators. */
  readonly readFleetKeyHashes: () => readonly string[];
}

interface FoundRoute {
  readonly route: AdminRoute;
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
}

/** Answers the requests of the administration API. */
export class AdminHttpHandler {
  readonly #options: AdminFaceOptions;
  readonly #router = createRouter({ maxParamLength: MAX_PARAMETER_LENGTH });

  constructor(options: AdminFaceOptions) {
    this.#options = options;
    for (const route of ADMIN_ROUTES) {
      this.#router.on(route.method, route.path, () => {}, route);
    }
  }

  /** Answers a request; false when no route has its method and path. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    const found = this.#findRoute(request);
    if (found === undefined) return false;
    const answer = await this.#createAnswer(request, found);
    const body = JSON.stringify(answer.body);
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(body);
    return true;
  }

  #findRoute(request: IncomingMessage): FoundRoute | undefined {
    const method = request.method as createRouter.HTTPMethod;
    const found = this.#router.find(method, request.url ?? "/");
    if (found === null) return undefined;
    const { store, params, searchParams } = found;
    return {
      route: store as AdminRoute,
      params: params as Record<string, string>,
      query: { ...searchParams },
    };
  }

  /** The key is looked at before the body, so strangers cannot send much. */
  async #createAnswer(
    request: IncomingMessage,
    found: FoundRoute,
  ): Promise<AdminAnswer> {
    const caller = this.#findCaller(request);
    if (caller === undefined) return createUnauthorized();
    const body = found.route.body === undefined
      ? Right(undefined)
      : await readJson(request);
    if (body.isLeft()) return createUnreadable(body.swap().unsafeCoerce());
    const { route, params, query } = found;
    const adminRequest: AdminRequest = {
      caller,
      params,
      query,
      body: body.unsafeCoerce(),
      requestId: randomUUID(),
    };
    return await runRoute(route, adminRequest, this.#options.ports);
  }

  #findCaller(request: IncomingMessage): Caller | undefined {
    const key = parseBearer(request.headers.authorization);
    if (key === undefined) return undefined;
    const { configuration } = this.#options.ports.readDocument();
    const fleetKeyHashes = this.#options.readFleetKeyHashes();
    return findCaller(key, { configuration, fleetKeyHashes });
  }
}

async function readJson(
  request: IncomingMessage,
): Promise<Either<string, unknown>> {
  try {
    const options = { limit: MAX_ADMIN_BODY, encoding: "utf8" };
    return Right(JSON.parse(await readRawBody(request, options)) as unknown);
  } catch (error) {
    return Left(error instanceof Error ? error.message : "unreadable");
  }
}

function createUnauthorized(): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.Unauthorized,
    message: "The key is missing or unknown.",
    remedy: "Send a key as `authorization: Bearer KEY`.",
  });
}

function createUnreadable(reason: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.BadRequest,
    message: `The body cannot be read: ${reason}.`,
    remedy: `Send JSON of at most ${MAX_ADMIN_BODY / BYTES_PER_MIB} MiB.`,
  });
}
