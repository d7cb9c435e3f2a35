/** One attempt at a target: sends a request and reads the answer. */
import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { Bytes, Millis, VmId } from "../../core/mod.ts";
import type { HomeRegions } from "../../routes/mod.ts";
import {
  AttemptEnd,
  type ConnectionPools,
  describeError,
  findRelay,
  startExchange,
} from "../../ports/mod.ts";
import type {
  AnswerHead,
  AttemptHead,
  CallerRequest,
  Dialect,
  ListedTarget,
} from "../dialect.ts";
import type { BodyParts } from "./body_buffer.ts";
import { AnswerBuffer } from "./answer_buffer.ts";
import { EventSplitter, type ServerSentEvent } from "./event_splitter.ts";
import { findInvalidHead } from "./find_invalid_head.ts";
import { MemoryKind, type RequestMemory } from "./request_memory.ts";
import { forwardInTurns, StreamBounds } from "./stream_bounds.ts";

/**
 * Connect timeout: long enough for some round trips or one retransmission, and
 * longer than the limit of the paths to a target.
 */
const CONNECT_TIMEOUT: Millis = 800;

/** Maximum size of one event of a stream. */
const MAX_EVENT_BYTES: Bytes = 1_048_576;

/** Bounds of a body that is read only to reuse its connection. */
const MAX_DISCARDED_BYTES: Bytes = 65_536;
const MAX_DISCARD_TIME: Millis = 1_000;

/** What an attempt sends, and to which target. */
export interface TargetExchangeInput {
  readonly dialect: Dialect;
  readonly pools: ConnectionPools;
  readonly target: ListedTarget;
  /** The only regions whose VMs may relay the request; any if undefined. */
  readonly homeRegions: HomeRegions | undefined;
  readonly request: CallerRequest;
  readonly head: Omit<AttemptHead, "target" | "bodyBytes">;
  readonly body: BodyParts;
  /** Memory for answers that are read completely before they are sent on. */
  readonly memory: RequestMemory;
  readonly signal: AbortSignal;
  /** Called with the peer that relays the connection, if one does. */
  readonly recordConnected: (relay: VmId | undefined) => void;
  /** Called with the head of an answer to this request as it arrives. */
  readonly recordHead: (head: AnswerHead) => void;
}

/** State of a target's connection after a failed attempt. */
export enum ConnectionState {
  /** It was established and closed or reset before the answer's end. */
  Lost = "lost",
  /** The target's machine answered that no process listens. */
  Refused = "refused",
}

/** Why an attempt did not return a complete answer. */
export interface AttemptFailure {
  readonly end: AttemptEnd;
  /** One line for logs. */
  readonly detail: string;
  /** What the failure says about the target's connection. */
  readonly connection?: ConnectionState;
  /** The head of the answer, if one arrived and passed validation. */
  readonly head?: AnswerHead;
}

/**
 * An answer that was read to its end. If its events were forwarded, the body is
 * empty.
 */
export interface CompleteAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Receives the events of an answer as they arrive. */
export interface EventSink {
  /**
   * Called once, before the events, with the head of the answer. Returns why
   * the answer must not be used, if it must not.
   */
  handleHead(head: AnswerHead): string | undefined;
  /** May return a promise; reading pauses until it resolves (backpressure). */
  handleEvent(event: ServerSentEvent): Promise<void> | undefined;
}

/** Sends a request and reads the complete answer. */
export async function callTarget(
  input: TargetExchangeInput,
): Promise<Either<AttemptFailure, CompleteAnswer>> {
  const started = await startTargetExchange(input);
  if (started.isLeft()) return Left(started.extract() as AttemptFailure);
  return await readWholeAnswer(input, started.extract() as StartedExchange);
}

async function readWholeAnswer(
  input: TargetExchangeInput,
  { incoming, head }: StartedExchange,
): Promise<Either<AttemptFailure, CompleteAnswer>> {
  const buffer = new AnswerBuffer(input.memory);
  const failure = await readAnswer(incoming, {
    signal: input.signal,
    handleChunk: (chunk) => {
      const excess = buffer.push(chunk);
      if (excess !== undefined) incoming.destroy(new Error(excess));
    },
  });
  if (failure === undefined) return Right({ head, body: buffer.close() });
  buffer.discard();
  return Left({ ...failure, head });
}

/**
 * Sends a request and passes the events of a successful stream to the sink. A
 * stream is complete if it ends after an event. The body of any other answer is
 * returned.
 */
export async function forwardEvents(
  input: TargetExchangeInput & {
    readonly sink: EventSink;
    /**
     * Called with each event that has content. Other bytes, of a comment or of
     * an event that never ends, show no progress, and neither does the head.
     */
    readonly recordProgress: () => void;
  },
): Promise<Either<AttemptFailure, CompleteAnswer>> {
  const started = await startTargetExchange(input);
  if (started.isLeft()) return Left(started.extract() as AttemptFailure);
  const { incoming, head } = started.extract() as StartedExchange;
  if (!isEventStream(head)) {
    return await readWholeAnswer(input, { incoming, head });
  }
  const objection = input.sink.handleHead(head);
  if (objection !== undefined) {
    incoming.destroy();
    return Left({ end: AttemptEnd.Broken, detail: objection, head });
  }
  const splitter = new EventSplitter();
  const bounds = new StreamBounds(input.request.prompt?.maxOutputTokens);
  const memory = input.memory.open(MemoryKind.Event);
  // A stream may be resumed after its last event.
  let hasEvent = input.head.resumeAfter !== undefined;
  const failure = await readAnswer(incoming, {
    signal: input.signal,
    handleChunk: (chunk) => {
      const events = splitter.push(chunk);
      const forwarding = forwardInTurns(events, {
        isEnded: () => incoming.destroyed,
        forward: (event) => {
          const excess = bounds.recordEvent(event);
          if (excess !== undefined) return void incoming.destroy(Error(excess));
          hasEvent = true;
          if (event.hasContent) input.recordProgress();
          return input.sink.handleEvent(event);
        },
      });
      if (splitter.remainderBytes > MAX_EVENT_BYTES) {
        const bound = `an event is larger than ${MAX_EVENT_BYTES} bytes`;
        incoming.destroy(new Error(bound));
      } else if (!memory.resize(splitter.memoryBytes)) {
        incoming.destroy(new Error("there is no memory left for an event"));
      }
      return forwarding;
    },
  });
  memory.release();
  if (failure !== undefined) return Left({ ...failure, head });
  const isCut = splitter.takeRemainder().length > 0;
  if (isCut || !hasEvent) {
    return Left({
      end: AttemptEnd.Broken,
      detail: `the stream ended ${
        isCut ? "inside an" : "before its first"
      } event`,
      connection: ConnectionState.Lost,
      head,
    });
  }
  return Right({ head, body: Buffer.alloc(0) });
}

/** Whether an answer is a stream whose events can be forwarded. */
export function isEventStream(head: AnswerHead): boolean {
  return head.status >= 200 && head.status < 300 && head.isEventStream;
}

interface StartedExchange {
  readonly incoming: IncomingMessage;
  readonly head: AnswerHead;
}

async function startTargetExchange(
  input: TargetExchangeInput,
): Promise<Either<AttemptFailure, StartedExchange>> {
  const { dialect, target, request, body } = input;
  const headers = dialect.formatAttempt(request, {
    ...input.head,
    target: target.id,
    bodyBytes: body.reduce((sum, part) => sum + part.length, 0),
  });
  let isReused = false;
  const started = await startExchange({
    method: request.method,
    url: `http://${target.host}:${target.port}`,
    path: request.path,
    headers,
    idleTimeout: 0,
    connectTimeout: CONNECT_TIMEOUT,
    agent: input.pools.getAgent(target.id, input.homeRegions),
    signal: input.signal,
    onConnected: (socket, wasUsed) => {
      isReused = wasUsed;
      input.recordConnected(findRelay(socket));
    },
    ...(body.length === 0 ? {} : { body }),
  });
  return started
    .mapLeft(({ sent, cancelled, refused, detail }): AttemptFailure => ({
      end: classifyFailure({ sent, cancelled }),
      detail,
      ...(refused ? { connection: ConnectionState.Refused } : {}),
      ...(sent && !cancelled ? { connection: ConnectionState.Lost } : {}),
    }))
    .chain((incoming) => validateHead(incoming, { ...input, isReused }));
}

function classifyFailure(
  input: { readonly sent: boolean; readonly cancelled: boolean },
): AttemptEnd {
  if (!input.sent) return AttemptEnd.NotSent;
  return input.cancelled ? AttemptEnd.Cancelled : AttemptEnd.Broken;
}

/**
 * Rejects an answer that can't be sent on, one to another request, one that says
 * that the request was not run, and one that was not produced by the target.
 */
function validateHead(
  incoming: IncomingMessage,
  input: TargetExchangeInput & {
    /** Whether the connection has carried an earlier request. */
    readonly isReused: boolean;
  },
): Either<AttemptFailure, StartedExchange> {
  const { statusCode = 0, rawHeaders } = incoming;
  const invalid = findInvalidHead(statusCode, rawHeaders);
  if (invalid !== undefined) {
    incoming.destroy();
    return Left({ end: AttemptEnd.Broken, detail: invalid });
  }
  const head = input.dialect.parseAnswer(statusCode, rawHeaders);
  if (head.requestId !== undefined && head.requestId !== input.request.id) {
    incoming.destroy();
    return Left({
      end: AttemptEnd.Broken,
      detail: "the answer has the id of another request",
    });
  }
  if (head.notRun && head.requestId === undefined && input.isReused) {
    // It may repeat the refusal of an earlier request of the connection.
    incoming.destroy();
    return Left({
      end: AttemptEnd.Broken,
      detail: "a refusal on a kept connection doesn't say which request",
    });
  }
  input.recordHead(head);
  if (head.notRun) {
    discardBody(incoming);
    return Left({
      end: AttemptEnd.Refused,
      detail: `the target answered ${head.status} and did not run the request`,
      head,
    });
  }
  if (!head.sealed || head.encoded) {
    incoming.destroy();
    return Left({
      end: AttemptEnd.Broken,
      detail: `the answer ${head.status} was not produced by the target`,
    });
  }
  return Right({ incoming, head });
}

/** Reads a body that is not needed, so that its connection can be reused. */
function discardBody(incoming: IncomingMessage): void {
  let size = 0;
  const timer = setTimeout(() => incoming.destroy(), MAX_DISCARD_TIME);
  incoming.on("close", () => clearTimeout(timer));
  incoming.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARDED_BYTES) incoming.destroy();
  });
}

/** Reads an answer to its end; resolves to a failure if it is incomplete. */
function readAnswer(
  incoming: IncomingMessage,
  input: {
    readonly signal: AbortSignal;
    /** May return a promise; reading pauses until it resolves. */
    readonly handleChunk: (chunk: Buffer) => Promise<void> | undefined | void;
  },
): Promise<AttemptFailure | undefined> {
  return new Promise((resolve) => {
    let detail = "the answer was interrupted";
    const isEndUncertain = isUnframed(incoming) &&
      findRelay(incoming.socket) !== undefined;
    // It may have been closed before this function could listen for that.
    if (incoming.destroyed) {
      return resolve({
        end: AttemptEnd.Broken,
        detail: describeError(incoming.errored ?? detail),
        connection: ConnectionState.Lost,
      });
    }
    incoming.on("data", (chunk: Buffer) => {
      let backpressure: Promise<void> | undefined | void;
      try {
        backpressure = input.handleChunk(chunk);
      } catch (error) {
        // Nothing else catches what a listener throws; it would end the process.
        return void incoming.destroy(error as Error);
      }
      if (backpressure === undefined) return;
      incoming.pause();
      backpressure.then(
        () => incoming.resume(),
        (error) => incoming.destroy(error),
      );
    });
    incoming.on("error", (error) => (detail = describeError(error)));
    incoming.on("end", () => {
      if (isEndUncertain) detail = "the answer has no length and was relayed";
      else if (incoming.complete) resolve(undefined);
    });
    incoming.on("close", () => {
      if (input.signal.aborted) {
        return resolve({ end: AttemptEnd.Cancelled, detail });
      }
      const connection = ConnectionState.Lost;
      resolve({ end: AttemptEnd.Broken, detail, connection });
    });
  });
}

/**
 * Whether only the end of the connection ends an answer. If a peer relays it and
 * is killed, that end looks the same.
 */
function isUnframed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
