/**
 * One bounded HTTP exchange over Node's `http` or `https`.
 *
 * What matters to callers is whether the other side may have acted: an
 * exchange that failed before its connection was made has had no effect, any
 * later failure leaves that open.
 */
import {
  type Agent,
  type IncomingMessage,
  request as startHttp,
} from "node:http";
import { request as startHttps } from "node:https";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import type { Bytes, Millis } from "../core/mod.ts";

/** Largest answer body that is read, in bytes. */
export const MAX_ANSWER_BYTES: Bytes = 16 * 1_048_576;

/** One request to be sent. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  /** Sent byte for byte in place of the path of `url`, which is normalized. */
  readonly path?: string;
  /**
   * By name, or names and values in turn. A list is sent as it is and must
   * carry the host and the body's length itself.
   */
  readonly headers?: Readonly<Record<string, string>> | readonly string[];
  readonly body?: Uint8Array | string;
  /** Longest silence of the connection, in milliseconds; 0 for no limit. */
  readonly idleTimeout: Millis;
  /** Longest wait for a new connection; Node has no limit of its own for it. */
  readonly connectTimeout?: Millis;
  /** Longest time from the start to the end of the whole answer. */
  readonly totalTimeout?: Millis;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

/** Why an exchange failed. */
export interface HttpFailure {
  /** False when the connection was never made, so that nothing was sent. */
  readonly sent: boolean;
  readonly cancelled: boolean;
  readonly detail: string;
}

/** A whole answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
}

/** Sends a request and resolves when the answer's headers arrive. */
export function startExchange(
  input: HttpRequest,
): Promise<Either<HttpFailure, IncomingMessage>> {
  return new Promise((resolve) => {
    let connected = false;
    let answer: IncomingMessage | undefined;
    const fail = (detail: string) =>
      resolve(Left({
        sent: connected,
        cancelled: input.signal?.aborted ?? false,
        detail,
      }));
    if (input.signal?.aborted) return fail("cancelled before it was sent");
    const start = input.url.startsWith("https:") ? startHttps : startHttp;
    const outgoing = start(input.url, {
      method: input.method,
      headers: createHeaders(input),
      ...(input.path === undefined ? {} : { path: input.path }),
      ...(input.agent === undefined ? {} : { agent: input.agent }),
    });
    const { connectTimeout } = input;
    const connectTimer = connectTimeout === undefined ? undefined : setTimeout(
      () =>
        outgoing.destroy(new Error(`no connection in ${connectTimeout} ms`)),
      connectTimeout,
    );
    // Node's own signal option leaves a pooled socket without an error handler.
    const cancel = () => outgoing.destroy(new Error("cancelled"));
    input.signal?.addEventListener("abort", cancel, { once: true });
    let socket: Socket | undefined;
    const detectReset = () => {
      if (socket !== undefined && isReset(socket)) {
        answer?.destroy(new Error("the connection was reset"));
      }
    };
    outgoing.on("close", () => {
      clearTimeout(connectTimer);
      socket?.removeListener("end", detectReset);
      input.signal?.removeEventListener("abort", cancel);
    });
    const markConnected = () => {
      connected = true;
      clearTimeout(connectTimer);
    };
    outgoing.on("socket", (assigned) => {
      socket = assigned;
      // Before Node's own listener, which ends the answer.
      socket.prependListener("end", detectReset);
      // A pooled socket is connected already.
      if (!socket.connecting) markConnected();
      else socket.once("connect", markConnected);
    });
    if (input.idleTimeout > 0) {
      outgoing.setTimeout(
        input.idleTimeout,
        () => outgoing.destroy(new Error(`silent for ${input.idleTimeout} ms`)),
      );
    }
    outgoing.on("error", (error) => {
      // Node takes an answer without a length for whole when it is reset.
      answer?.destroy(error);
      fail(describeError(error));
    });
    outgoing.on("response", (incoming) => {
      answer = incoming;
      // A reader that has left must not turn a late error into a crash.
      incoming.on("error", () => {});
      resolve(Right(incoming));
    });
    outgoing.end(input.body);
  });
}

/**
 * Whether a connection that Node says has ended was reset. When a reset comes
 * right behind data, libuv reports an end without an error, and an answer that
 * ends with its connection would pass for whole. A connection that was reset
 * has no peer any more; one that the peer closed still has it.
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

/** Sends a request and reads the whole answer. */
export async function sendRequest(
  input: HttpRequest,
): Promise<Either<HttpFailure, HttpAnswer>> {
  if (input.totalTimeout === undefined) return await sendAndReadAnswer(input);
  const controller = new AbortController();
  const abort = () => controller.abort();
  const timer = setTimeout(abort, input.totalTimeout);
  input.signal?.addEventListener("abort", abort, { once: true });
  const answer = await sendAndReadAnswer({
    ...input,
    signal: controller.signal,
  });
  clearTimeout(timer);
  input.signal?.removeEventListener("abort", abort);
  return answer;
}

async function sendAndReadAnswer(
  input: HttpRequest,
): Promise<Either<HttpFailure, HttpAnswer>> {
  const started = await startExchange(input);
  const incoming = started.extract();
  if (!("statusCode" in incoming)) return Left(incoming as HttpFailure);
  try {
    const body = await readBody(incoming, input.signal);
    return Right({
      status: incoming.statusCode ?? 0,
      headers: incoming.headers,
      body,
    });
  } catch (error) {
    return Left({
      sent: true,
      cancelled: input.signal?.aborted ?? false,
      detail: describeError(error),
    });
  }
}

/** Sends a request and parses the answer's body as JSON. */
export async function sendJsonRequest(
  input: HttpRequest,
): Promise<Either<HttpFailure, { status: number; body: unknown }>> {
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
        body: text === "" ? undefined : JSON.parse(text),
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
  signal: AbortSignal | undefined,
): Promise<Uint8Array> {
  const parts: Buffer[] = [];
  let size = 0;
  signal?.addEventListener(
    "abort",
    () => void incoming.destroy(new Error("cancelled")),
    { once: true },
  );
  for await (const part of incoming) {
    size += (part as Buffer).length;
    if (size > MAX_ANSWER_BYTES) {
      incoming.destroy();
      throw new Error(`answer is larger than ${MAX_ANSWER_BYTES} bytes`);
    }
    parts.push(part as Buffer);
  }
  if (!incoming.complete) throw new Error("answer broke off");
  return Buffer.concat(parts);
}

/** Returns one line that describes anything thrown. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code} ${error.message}`;
}
