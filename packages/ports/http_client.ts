/**
 * HTTP client for single requests with time and size limits, over Node's `http`
 * or `https`.
 *
 * A failure says whether the server may have processed the request: if no
 * connection was established, it cannot have; after any later failure, the
 * outcome is unknown.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as startHttp,
} from "node:http";
import { request as startHttps } from "node:https";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import type { Bytes, Millis } from "../core/mod.ts";
import { isRefusedConnection } from "./probe_connection.ts";

/** Maximum size of an answer body, in bytes. */
export const MAX_ANSWER_BYTES: Bytes = 16 * 1_048_576;

/** Maximum time from the beginning of an answer's body to its end. */
export const MAX_TRANSFER_TIME: Millis = 15_000;

/** Maximum size of an answer that arrives after its time limit. */
const MAX_LATE_BYTES: Bytes = 65_536;

/** Maximum number of heads with status 1xx before an answer. */
const MAX_INTERIM_HEADS = 16;

/** Lowest status of a final answer; those below announce another one. */
export const MIN_FINAL_STATUS = 200;

/** One request and its limits. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  /** Sent unchanged in place of the path of `url`, which Node normalizes. */
  readonly path?: string;
  /**
   * An object by name, or a list of alternating names and values. A list is
   * sent unchanged, so it must include the host and the content length.
   */
  readonly headers?: Readonly<Record<string, string>> | readonly string[];
  /** May come in parts if the headers are a list. */
  readonly body?: Uint8Array | string | readonly Uint8Array[];
  /** Maximum time without data on the connection; 0 for no limit. */
  readonly idleTimeout: Millis;
  /**
   * Maximum time to establish a connection, which Node does not limit: to an
   * address that is silent TCP takes minutes. 0 if the agent limits it.
   */
  readonly connectTimeout: Millis;
  /**
   * Maximum time to wait for one of the agent's connections if it limits their
   * number; that of {@link connectTimeout} by default.
   */
  readonly queueTimeout?: Millis;
  /**
   * Maximum time from the connection until the complete answer has arrived, or
   * until its body begins if `progressTimeout` is set.
   */
  readonly answerTimeout?: Millis;
  /**
   * Maximum time without data once the answer's body has begun. An answer that
   * keeps arriving may take up to {@link MAX_TRANSFER_TIME}.
   */
  readonly progressTimeout?: Millis;
  /**
   * Called when no part of the body has arrived within the answer timeout.
   * Returns for how long the connection stays open, so that it can be used again
   * once the answer has arrived; 0 closes it, as without this function.
   */
  readonly keepLate?: (socket: Socket) => Millis;
  /** Called when a connection is established, or a pooled one is reused. */
  readonly onConnected?: (socket: Socket, isReused: boolean) => void;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

/** Why a request failed. */
export interface HttpFailure {
  /** False if no connection was established, so nothing was sent. */
  readonly sent: boolean;
  /** True if the signal was aborted or the answer timeout elapsed. */
  readonly cancelled: boolean;
  /** True if the answer timeout elapsed. */
  readonly timedOut?: boolean;
  /** True if the server's machine answered that no process listens. */
  readonly refused?: boolean;
  /** Bytes of the body that arrived before the failure; absent if none. */
  readonly receivedBytes?: Bytes;
  readonly detail: string;
}

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
}

/** Sends a request and resolves when the answer's headers have arrived. */
export function startExchange(
  input: HttpRequest,
): Promise<Either<HttpFailure, IncomingMessage>> {
  return new Promise((resolve) => {
    let connected = false;
    let answer: IncomingMessage | undefined;
    const fail = (detail: string, refused = false) =>
      resolve(Left({
        sent: connected,
        cancelled: input.signal?.aborted ?? false,
        refused,
        detail,
      }));
    if (input.signal?.aborted) return fail("cancelled before it was sent");
    let outgoing: ClientRequest;
    try {
      outgoing = createClientRequest(input);
    } catch (error) {
      // An address, a path or a header that can't be sent.
      return fail(describeError(error));
    }
    let socket: Socket | undefined;
    const end = (detail: string) => {
      outgoing.destroy(new Error(detail));
      // Node reports no error before the agent has assigned a connection.
      if (socket === undefined) fail(detail);
    };
    const { connectTimeout, queueTimeout = connectTimeout } = input;
    const startConnectTimer = (limit: Millis) =>
      limit === 0 ? undefined : setTimeout(
        () => end(`could not connect within ${limit} ms`),
        limit,
      );
    let connectTimer = startConnectTimer(queueTimeout);
    // Node's `signal` option leaves a pooled socket without an error handler.
    const cancel = () => end("cancelled");
    input.signal?.addEventListener("abort", cancel, { once: true });
    const detectReset = () => {
      if (socket !== undefined && isReset(socket)) {
        answer?.destroy(new Error("the connection was reset"));
      }
    };
    outgoing.on("close", () => {
      clearTimeout(connectTimer);
      socket?.removeListener("end", detectReset);
      input.signal?.removeEventListener("abort", cancel);
      // Node reports no error when the server switches to another protocol.
      fail("the connection was closed without a final answer");
    });
    const markConnected = () => {
      connected = true;
      clearTimeout(connectTimer);
      input.onConnected?.(socket!, outgoing.reusedSocket);
    };
    outgoing.on("socket", (assigned) => {
      socket = assigned;
      // Must run before Node's own listener, which completes the answer.
      socket.prependListener("end", detectReset);
      // A reused socket from the pool is already connected.
      if (!socket.connecting) return markConnected();
      clearTimeout(connectTimer);
      connectTimer = startConnectTimer(connectTimeout);
      socket.once("connect", markConnected);
    });
    if (input.idleTimeout > 0) {
      outgoing.setTimeout(
        input.idleTimeout,
        () =>
          outgoing.destroy(new Error(`no data for ${input.idleTimeout} ms`)),
      );
    }
    outgoing.on("error", (error) => {
      // Otherwise Node treats a reset answer without a length as complete. An
      // error after the end of an answer is due to bytes that follow it.
      if (answer?.complete === false) answer.destroy(error);
      fail(describeError(error), isRefusedConnection(error));
    });
    let interimHeads = 0;
    const countInterimHead = () => {
      if (++interimHeads <= MAX_INTERIM_HEADS) return;
      outgoing.destroy(new Error(`over ${MAX_INTERIM_HEADS} interim heads`));
    };
    outgoing.on("information", countInterimHead);
    outgoing.on("response", (incoming) => {
      answer = incoming;
      // An error after the reader has stopped must not crash the process.
      incoming.on("error", () => {});
      resolve(Right(incoming));
    });
    const { body } = input;
    if (!Array.isArray(body)) return void outgoing.end(body);
    for (const part of body.slice(0, -1)) outgoing.write(part);
    outgoing.end(body[body.length - 1]);
  });
}

function createClientRequest(input: HttpRequest): ClientRequest {
  const start = input.url.startsWith("https:") ? startHttps : startHttp;
  return start(input.url, {
    method: input.method,
    headers: createHeaders(input),
    ...(input.path === undefined ? {} : { path: input.path }),
    ...(input.agent === undefined ? {} : { agent: input.agent }),
  });
}

/**
 * Returns whether a socket that emitted "end" was reset by the peer. When a
 * reset immediately follows data, libuv reports end-of-stream without an error,
 * and an answer delimited by the end of its connection would seem complete. A
 * socket that was reset has no remote address any more; one that the peer
 * closed normally still has it.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

function createHeaders(input: HttpRequest): Record<string, string> | string[] {
  const { headers } = input;
  if (Array.isArray(headers)) return headers;
  const length = input.body === undefined
    ? 0
    : Buffer.byteLength(input.body as string);
  return { "content-length": String(length), ...headers as object };
}

/** Sends a request and reads the complete answer. */
export async function sendRequest(
  input: HttpRequest,
): Promise<Either<HttpFailure, HttpAnswer>> {
  const { answerTimeout, progressTimeout } = input;
  if (answerTimeout === undefined) return await sendAndReadAnswer(input);
  const controller = new AbortController();
  const abort = () => controller.abort();
  return await new Promise((resolve) => {
    let connection: Socket | undefined;
    let hasData = false;
    let lateTimer: NodeJS.Timeout | undefined;
    const exceed = (detail: string) => {
      const isKept = connection !== undefined && !hasData;
      const keepTime = isKept ? input.keepLate?.(connection!) ?? 0 : 0;
      if (keepTime === 0) return abort();
      lateTimer = setTimeout(abort, keepTime).unref();
      resolve(Left({ sent: true, cancelled: true, timedOut: true, detail }));
    };
    const timer = new AnswerTimer({ answerTimeout, progressTimeout, exceed });
    input.signal?.addEventListener("abort", abort, { once: true });
    void sendAndReadAnswer({
      ...input,
      signal: controller.signal,
      onConnected: (socket, isReused) => {
        connection = socket;
        input.onConnected?.(socket, isReused);
        timer.start();
      },
    }, {
      onData: () => {
        hasData = true;
        timer.recordData();
      },
      getMaxBytes: () =>
        timer.exceeded === undefined ? MAX_ANSWER_BYTES : MAX_LATE_BYTES,
    }).then((answer) => {
      timer.stop();
      clearTimeout(lateTimer);
      input.signal?.removeEventListener("abort", abort);
      const { exceeded } = timer;
      if (exceeded === undefined) return resolve(answer);
      resolve(answer.mapLeft((failure) => ({
        ...failure,
        timedOut: true,
        detail: exceeded,
      })));
    });
  });
}

/** Measures the time limits of a request. */
class AnswerTimer {
  readonly #options: {
    readonly answerTimeout: Millis;
    readonly progressTimeout: Millis | undefined;
    readonly exceed: (detail: string) => void;
  };
  #timer: NodeJS.Timeout | undefined;
  #transferTimer: NodeJS.Timeout | undefined;
  #exceeded: string | undefined;

  constructor(options: {
    readonly answerTimeout: Millis;
    readonly progressTimeout: Millis | undefined;
    readonly exceed: (detail: string) => void;
  }) {
    this.#options = options;
  }

  /** Which limit was exceeded, as a sentence; undefined if none was. */
  get exceeded(): string | undefined {
    return this.#exceeded;
  }

  /** Starts with the connection. */
  start(): void {
    const { answerTimeout } = this.#options;
    const detail = `no complete answer within ${Math.round(answerTimeout)} ms`;
    this.#timer = this.#schedule(answerTimeout, detail);
  }

  /** Records that a part of the answer's body has arrived. */
  recordData(): void {
    const { progressTimeout } = this.#options;
    if (progressTimeout === undefined || this.#exceeded !== undefined) return;
    clearTimeout(this.#timer);
    const detail = `no data for ${Math.round(progressTimeout)} ms`;
    this.#timer = this.#schedule(progressTimeout, detail);
    this.#transferTimer ??= this.#schedule(
      MAX_TRANSFER_TIME,
      `no complete answer within ${MAX_TRANSFER_TIME} ms of its beginning`,
    );
  }

  /** Ends with the answer. */
  stop(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#transferTimer);
  }

  #schedule(duration: Millis, detail: string): NodeJS.Timeout {
    return setTimeout(() => {
      this.#exceeded ??= detail;
      this.#options.exceed(detail);
    }, duration);
  }
}

async function sendAndReadAnswer(
  input: HttpRequest,
  reading: {
    readonly onData?: () => void;
    readonly getMaxBytes?: () => Bytes;
  } = {},
): Promise<Either<HttpFailure, HttpAnswer>> {
  const started = await startExchange(input);
  const incoming = started.extract();
  if (!("statusCode" in incoming)) return Left(incoming as HttpFailure);
  let receivedBytes: Bytes = 0;
  try {
    const body = await readBody(incoming, {
      signal: input.signal,
      getMaxBytes: reading.getMaxBytes ?? (() => MAX_ANSWER_BYTES),
      onData: (bytes) => {
        receivedBytes += bytes;
        reading.onData?.();
      },
    });
    return Right({
      status: incoming.statusCode ?? 0,
      headers: incoming.headers,
      body,
    });
  } catch (error) {
    return Left({
      sent: true,
      cancelled: input.signal?.aborted ?? false,
      receivedBytes,
      detail: describeError(error),
    });
  }
}

/** A complete answer whose body is JSON, or empty. */
export interface JsonAnswer extends Omit<HttpAnswer, "body"> {
  readonly body: unknown;
  readonly bodyBytes: Bytes;
}

/** Sends a JSON request and parses the answer's body as JSON. */
export async function sendJsonRequest(
  input: HttpRequest,
): Promise<Either<HttpFailure, JsonAnswer>> {
  const headers = {
    "content-type": "application/json",
    ...input.headers as Record<string, string>,
  };
  const answer = await sendRequest({ ...input, headers });
  return answer.chain((received) => {
    try {
      const text = Buffer.from(received.body).toString("utf8");
      return Right({
        status: received.status,
        headers: received.headers,
        body: text === "" ? undefined : JSON.parse(text),
        bodyBytes: received.body.byteLength,
      });
    } catch (error) {
      return Left({
        sent: true,
        cancelled: false,
        detail: describeError(error),
      });
    }
  });
}

async function readBody(
  incoming: IncomingMessage,
  input: {
    readonly signal: AbortSignal | undefined;
    readonly onData: (bytes: Bytes) => void;
    readonly getMaxBytes: () => Bytes;
  },
): Promise<Uint8Array> {
  const parts: Buffer[] = [];
  let size = 0;
  input.signal?.addEventListener(
    "abort",
    () => void incoming.destroy(new Error("cancelled")),
    { once: true },
  );
  for await (const part of incoming) {
    size += (part as Buffer).length;
    input.onData((part as Buffer).length);
    const maxBytes = input.getMaxBytes();
    if (size > maxBytes) {
      incoming.destroy();
      throw new Error(`answer is larger than ${maxBytes} bytes`);
    }
    parts.push(part as Buffer);
  }
  if (!incoming.complete) throw new Error("answer was interrupted");
  return Buffer.concat(parts);
}

/** Returns a one-line description of any thrown value. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code} ${error.message}`;
}
