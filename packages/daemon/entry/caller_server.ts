/** HTTP API for callers: chat completions and calls of plain services. */
import type { IncomingMessage, ServerResponse } from "node:http";
import readRawBody from "raw-body";
import { type Either, Left, Right } from "purify-ts";
import {
  type Millis,
  MILLIS_PER_SECOND,
  type Refusal,
  RefusalKind,
} from "../../core/mod.ts";
import { type FreshnessState, isRefusedAsStale } from "../../document/mod.ts";
import { isPeerKey } from "../../peer/mod.ts";
import {
  createBadRequest,
  createRefusal,
  LogEvent,
} from "../../runtime/mod.ts";
import {
  FORWARDED_HEADER,
  type HomeForwarding,
  PEER_KEY_HEADER,
} from "../features/home_forwarding.ts";
import { CONFIGURATION, DRAINING, type NodeContext } from "../node_context.ts";
import type { RunEnd } from "./request_run.ts";
import type { CallerRequest } from "./caller_request.ts";
import {
  createCallerRequest,
  readCallerHeaders,
} from "./read_caller_request.ts";
import type { RequestRunner } from "./request_runner.ts";
import { AnswerWriter, writeRefusal } from "./write_answer.ts";

const STALE_RETRY_AFTER: Millis = 5_000;

/** URL path of chat completions. */
export const CHAT_PATH = "/v1/chat/completions";

/** URL path of calls to plain services. */
export const CALLS_PATH = "/v1/calls";

/** Dependencies of the caller server. */
export interface CallerServerDependencies {
  readonly runner: RequestRunner;
  readonly forwarding: HomeForwarding;
  /** Returns whether this VM recently confirmed that its document is current. */
  readonly readFreshness: () => FreshnessState;
  /** Shared key by which entry VMs authenticate the requests they forward. */
  readonly peerKey: string;
}

/**
 * Handles the HTTP requests of callers: checks each request, forwards it to a
 * home VM of its event or runs it on this VM, and writes the answer.
 */
export class CallerServer {
  readonly #context: NodeContext;
  readonly #dependencies: CallerServerDependencies;

  constructor(context: NodeContext, dependencies: CallerServerDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /** Handles one HTTP request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    response.on("error", () => response.destroy());
    if (request.url === "/healthz") return sendText(response, 200, "ok\n");
    if (request.url === "/readyz") return this.#sendReadiness(response);
    this.#serve(request, response).catch((error) => {
      this.#context.log.error(LogEvent.ProcessFailed, {
        process: "caller_face",
        reason: String(error),
      });
      this.#refuse(response, createRefusal(RefusalKind.Internal));
    });
  }

  #sendReadiness(response: ServerResponse): void {
    const { kernel } = this.#context;
    const ready = !kernel.read(DRAINING) &&
      kernel.read(CONFIGURATION).version > 0;
    sendText(response, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const read = await this.#readRequest(request);
    if (read.isLeft()) {
      const refusal = read.extract() as Refusal;
      // The connection cannot be reused while the body is not fully read.
      if (!request.complete) response.setHeader("connection", "close");
      return this.#refuse(response, refusal);
    }
    const accepted = read.unsafeCoerce();
    if (!this.#isForwarded(request)) {
      const input = { request, response, accepted };
      if (await this.#dependencies.forwarding.forward(input)) return;
    }
    this.#dependencies.runner.start(accepted).caseOf({
      Left: (refusal) => this.#refuse(response, refusal, accepted),
      Right: (run) => {
        const observer = this.#createObserver(accepted);
        const { stream } = accepted;
        new AnswerWriter(response, { run, stream, observer });
      },
    });
  }

  /**
   * Returns whether another entry VM forwarded the request. The shared key is
   * checked, so that a caller cannot forge the header.
   */
  #isForwarded(request: IncomingMessage): boolean {
    if (request.headers[FORWARDED_HEADER] === undefined) return false;
    const key = request.headers[PEER_KEY_HEADER];
    return isPeerKey(`Bearer ${String(key)}`, this.#dependencies.peerKey);
  }

  async #readRequest(
    request: IncomingMessage,
  ): Promise<Either<Refusal, CallerRequest>> {
    const path = request.url?.split("?")[0];
    if (request.method !== "POST" || !isKnownPath(path)) {
      return Left(createBadRequest(
        `it was sent to ${request.method} ${path}; use POST ${CHAT_PATH} or POST ${CALLS_PATH}`,
      ));
    }
    const { kernel, clock } = this.#context;
    const configuration = kernel.read(CONFIGURATION);
    const { headers } = request;
    const now = clock.readMonotonic();
    const checked = readCallerHeaders(configuration, headers);
    if (checked.isLeft()) return Left(checked.swap().unsafeCoerce());
    const { whenStale } = checked.unsafeCoerce().kind;
    if (isRefusedAsStale(this.#dependencies.readFreshness(), whenStale)) {
      return Left(createRefusal(RefusalKind.ConfigurationStale, {
        retryAfter: STALE_RETRY_AFTER,
      }));
    }
    const body = await this.#readBody(request);
    return body.chain((bytes) =>
      createCallerRequest({
        ...checked.unsafeCoerce(),
        configuration,
        headers,
        body: bytes,
        now,
      })
    );
  }

  async #readBody(
    request: IncomingMessage,
  ): Promise<Either<Refusal, Uint8Array>> {
    const { maxBodyBytes, slowSenderMillis } = this.#context.settings.limits;
    let slow = false;
    const timer = setTimeout(() => {
      slow = true;
      request.emit("error", new Error("the sender is too slow"));
    }, slowSenderMillis);
    try {
      const length = request.headers["content-length"];
      return Right(
        await readRawBody(request, {
          limit: maxBodyBytes,
          ...(length === undefined ? {} : { length }),
        }),
      );
    } catch (error) {
      if (slow) return Left(createRefusal(RefusalKind.SlowSender));
      const type = (error as { type?: string }).type;
      return Left(
        type === "entity.too.large"
          ? createRefusal(RefusalKind.BodyTooLarge)
          : createBadRequest("its body did not arrive whole"),
      );
    } finally {
      clearTimeout(timer);
    }
  }

  #refuse(
    response: ServerResponse,
    refusal: Refusal,
    request?: CallerRequest,
  ): void {
    this.#recordRefusal(refusal, request);
    writeRefusal(response, refusal);
  }

  #recordRefusal(refusal: Refusal, request?: CallerRequest): void {
    const { metrics, log } = this.#context;
    const kind = request?.kind.id ?? "";
    metrics.refusals.inc({ kind, reason: refusal.kind });
    metrics.requests.inc({ kind, outcome: refusal.outcome });
    log.info(LogEvent.RequestRefused, {
      event_id: request?.event.id,
      kind,
      customer: request?.customer.id,
      reason: refusal.kind,
      outcome: refusal.outcome,
    });
  }

  #createObserver(request: CallerRequest) {
    const { metrics, clock } = this.#context;
    const { priority } = request.kind;
    const readElapsedSeconds = () =>
      (clock.readMonotonic() - request.arrivedAt) / MILLIS_PER_SECOND;
    return {
      onFirstChunk: () =>
        metrics.firstToken.observe({ priority }, readElapsedSeconds()),
      onEnd: (end: RunEnd | undefined) => {
        metrics.duration.observe({ priority }, readElapsedSeconds());
        this.#recordEnd(request, end);
      },
    };
  }

  #recordEnd(request: CallerRequest, end: RunEnd | undefined): void {
    if (end?.type === "refused") {
      return this.#recordRefusal(end.refusal, request);
    }
    const { metrics, log } = this.#context;
    const outcome = end === undefined ? "caller-left" : "ran";
    metrics.requests.inc({ kind: request.kind.id, outcome });
    log.info(LogEvent.RequestEnded, {
      event_id: request.event.id,
      kind: request.kind.id,
      customer: request.customer.id,
      outcome,
    });
  }
}

function isKnownPath(path: string | undefined): boolean {
  return path === CHAT_PATH || path === CALLS_PATH;
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(text);
}
