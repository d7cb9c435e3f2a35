/** One attempt at a target: sends a request and takes its answer apart. */
import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { Millis } from "../../core/mod.ts";
import {
  AttemptEnd,
  type ConnectionPools,
  describeError,
  startExchange,
} from "../../ports/mod.ts";
import type {
  AnswerHead,
  AttemptHead,
  CallerRequest,
  Dialect,
  ListedTarget,
} from "../dialect.ts";
import { EventSplitter, type ServerSentEvent } from "./event_splitter.ts";

/** Longest wait for a connection: some round trips, or one resent packet. */
const CONNECT_TIMEOUT: Millis = 700;

/** What an attempt sends, and where. */
export interface TargetExchangeInput {
  readonly dialect: Dialect;
  readonly pools: ConnectionPools;
  readonly target: ListedTarget;
  readonly request: CallerRequest;
  readonly head: Omit<AttemptHead, "target" | "bodyBytes">;
  readonly body: Uint8Array;
  readonly signal: AbortSignal;
}

/** Why an attempt brought no whole answer. */
export interface AttemptFailure {
  readonly end: AttemptEnd;
  /** One line for logs. */
  readonly detail: string;
  /** The head of the answer, where one came that can be trusted. */
  readonly head?: AnswerHead;
}

/** A whole answer. */
export interface CompleteAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Takes the events of an answer as they come. */
export interface EventSink {
  /** The head came; it is passed on with the first event. */
  handleHead(head: AnswerHead): void;
  /** Returns a promise to wait for when the caller is behind. */
  handleEvent(event: ServerSentEvent): Promise<void> | undefined;
}

/** Sends a request and reads its answer whole. */
export async function callTarget(
  input: TargetExchangeInput,
): Promise<Either<AttemptFailure, CompleteAnswer>> {
  const started = await startTargetExchange(input);
  if (started.isLeft()) return Left(started.extract() as AttemptFailure);
  const { incoming, head } = started.extract() as StartedExchange;
  const chunks: Buffer[] = [];
  const failure = await readAnswer(incoming, {
    signal: input.signal,
    handleChunk: (chunk) => void chunks.push(chunk),
  });
  if (failure !== undefined) return Left({ ...failure, head });
  return Right({ head, body: Buffer.concat(chunks) });
}

/**
 * Sends a request and passes the events of its answer on. Resolves Right with
 * the bytes after the last event when the answer is whole. An answer that is no
 * success is read whole.
 */
export async function forwardEvents(
  input: TargetExchangeInput & {
    readonly sink: EventSink;
    /** Called for each sign of life of the target. */
    readonly recordProgress: () => void;
  },
): Promise<Either<AttemptFailure, CompleteAnswer>> {
  const started = await startTargetExchange(input);
  if (started.isLeft()) return Left(started.extract() as AttemptFailure);
  const { incoming, head } = started.extract() as StartedExchange;
  input.recordProgress();
  const isSuccess = head.status >= 200 && head.status < 300;
  if (isSuccess) input.sink.handleHead(head);
  const splitter = new EventSplitter();
  const chunks: Buffer[] = [];
  const failure = await readAnswer(incoming, {
    signal: input.signal,
    handleChunk: (chunk) => {
      input.recordProgress();
      if (!isSuccess) {
        chunks.push(chunk);
        return undefined;
      }
      let backpressure: Promise<void> | undefined;
      for (const event of splitter.push(chunk)) {
        backpressure = input.sink.handleEvent(event) ?? backpressure;
      }
      return backpressure;
    },
  });
  if (failure !== undefined) return Left({ ...failure, head });
  const body = isSuccess ? splitter.takeRemainder() : Buffer.concat(chunks);
  return Right({ head, body });
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
    bodyBytes: body.length,
  });
  const started = await startExchange({
    method: request.method,
    url: `http://${target.host}:${target.port}`,
    path: request.path,
    headers,
    idleTimeout: 0,
    connectTimeout: CONNECT_TIMEOUT,
    agent: input.pools.getAgent(target.id),
    signal: input.signal,
    ...(body.length === 0 ? {} : { body }),
  });
  return started
    .mapLeft(({ sent, cancelled, detail }): AttemptFailure => ({
      end: classifyFailure({ sent, cancelled }),
      detail,
    }))
    .chain((incoming) => validateHead(incoming, input));
}

function classifyFailure(
  input: { readonly sent: boolean; readonly cancelled: boolean },
): AttemptEnd {
  if (!input.sent) return AttemptEnd.NotSent;
  return input.cancelled ? AttemptEnd.Cancelled : AttemptEnd.Broken;
}

/** Accepts only an answer that this target made for this request. */
function validateHead(
  incoming: IncomingMessage,
  input: TargetExchangeInput,
): Either<AttemptFailure, StartedExchange> {
  const head = input.dialect.parseAnswer(
    incoming.statusCode ?? 0,
    incoming.rawHeaders,
  );
  if (head.requestId !== undefined && head.requestId !== input.request.id) {
    incoming.destroy();
    return Left({
      end: AttemptEnd.Broken,
      detail: "the answer is of another request",
    });
  }
  if (head.notRun) {
    incoming.resume();
    return Left({
      end: AttemptEnd.Refused,
      detail: `the target answered ${head.status} and ran nothing`,
      head,
    });
  }
  if (!head.sealed || head.encoded) {
    incoming.destroy();
    return Left({
      end: AttemptEnd.Broken,
      detail: `the answer ${head.status} is not the target's`,
    });
  }
  return Right({ incoming, head });
}

/** Reads an answer to its end; returns why it is not whole. */
function readAnswer(
  incoming: IncomingMessage,
  input: {
    readonly signal: AbortSignal;
    /** May return a promise to wait for before more is read. */
    readonly handleChunk: (chunk: Buffer) => Promise<void> | undefined | void;
  },
): Promise<AttemptFailure | undefined> {
  return new Promise((resolve) => {
    let detail = "the answer broke off";
    incoming.on("data", (chunk: Buffer) => {
      const backpressure = input.handleChunk(chunk);
      if (backpressure === undefined) return;
      incoming.pause();
      void backpressure.then(() => incoming.resume());
    });
    incoming.on("error", (error) => (detail = describeError(error)));
    incoming.on("end", () => {
      if (incoming.complete) resolve(undefined);
    });
    incoming.on("close", () => {
      const cancelled = input.signal.aborted;
      resolve({
        end: cancelled ? AttemptEnd.Cancelled : AttemptEnd.Broken,
        detail,
      });
    });
  });
}
