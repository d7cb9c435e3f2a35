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
import { EventSplitter, type WholeEvent } from "./event_splitter.ts";

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
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Takes the events of an answer as they come. */
export interface EventSink {
  /** The head came; it is passed on with the first event. */
  takeHead(head: AnswerHead): void;
  /** Returns a promise to wait for when the caller is behind. */
  takeEvent(event: WholeEvent): Promise<void> | undefined;
}

/** Sends a request and reads its answer whole. */
export async function callWhole(
  input: TargetExchangeInput,
): Promise<Either<AttemptFailure, WholeAnswer>> {
  const started = await startTargetExchange(input);
  if (started.isLeft()) return Left(started.extract() as AttemptFailure);
  const { incoming, head } = started.extract() as StartedExchange;
  const parts: Buffer[] = [];
  const failure = await readAnswer(incoming, {
    signal: input.signal,
    take: (part) => void parts.push(part),
  });
  if (failure !== undefined) return Left({ ...failure, head });
  return Right({ head, body: Buffer.concat(parts) });
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
): Promise<Either<AttemptFailure, WholeAnswer>> {
  const started = await startTargetExchange(input);
  if (started.isLeft()) return Left(started.extract() as AttemptFailure);
  const { incoming, head } = started.extract() as StartedExchange;
  input.recordProgress();
  const isSuccess = head.status >= 200 && head.status < 300;
  if (isSuccess) input.sink.takeHead(head);
  const splitter = new EventSplitter();
  const parts: Buffer[] = [];
  const failure = await readAnswer(incoming, {
    signal: input.signal,
    take: (part) => {
      input.recordProgress();
      if (!isSuccess) {
        parts.push(part);
        return undefined;
      }
      let wait: Promise<void> | undefined;
      for (const event of splitter.push(part)) {
        wait = input.sink.takeEvent(event) ?? wait;
      }
      return wait;
    },
  });
  if (failure !== undefined) return Left({ ...failure, head });
  const body = isSuccess ? splitter.takeRest() : Buffer.concat(parts);
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
      end: chooseEnd({ sent, cancelled }),
      detail,
    }))
    .chain((incoming) => checkHead(incoming, input));
}

function chooseEnd(
  input: { readonly sent: boolean; readonly cancelled: boolean },
): AttemptEnd {
  if (!input.sent) return AttemptEnd.NotSent;
  return input.cancelled ? AttemptEnd.Cancelled : AttemptEnd.Broken;
}

/** Accepts only an answer that this target made for this request. */
function checkHead(
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
    readonly take: (part: Buffer) => Promise<void> | undefined | void;
  },
): Promise<AttemptFailure | undefined> {
  return new Promise((resolve) => {
    let detail = "the answer broke off";
    incoming.on("data", (part: Buffer) => {
      const wait = input.take(part);
      if (wait === undefined) return;
      incoming.pause();
      void wait.then(() => incoming.resume());
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
