/** Bounds of what one stream may send, and of the work that it makes in a turn. */
import type { Bytes, Tokens } from "../../core/mod.ts";
import type { ServerSentEvent } from "./event_splitter.ts";

/** Maximum size of comments between two events that have content. */
const MAX_COMMENT_BYTES: Bytes = 16_384;

/** Number of events that a stream may have besides those of its output. */
const MAX_EXTRA_EVENTS = 16;

/** Number of events of one stream that are forwarded in one turn. */
const MAX_EVENTS_PER_TURN = 64;

/** Bounds of a stream's events, which a target may send without end. */
export class StreamBounds {
  readonly #maxEvents: number;
  #events = 0;
  #commentBytes: Bytes = 0;

  /** An event has a token of the output, at least; without a limit any number. */
  constructor(maxOutputTokens: Tokens | undefined) {
    this.#maxEvents = (maxOutputTokens ?? Infinity) + MAX_EXTRA_EVENTS;
  }

  /** Records an event; returns which bound it exceeds, if it does. */
  recordEvent({ hasContent, bytes }: ServerSentEvent): string | undefined {
    if (!hasContent) {
      this.#commentBytes += bytes.length;
      return this.#commentBytes > MAX_COMMENT_BYTES
        ? `more than ${MAX_COMMENT_BYTES} bytes of comments in a row`
        : undefined;
    }
    this.#commentBytes = 0;
    return ++this.#events > this.#maxEvents
      ? `more than ${this.#maxEvents} events`
      : undefined;
  }
}

/**
 * Forwards events, a limited number in each turn of the event loop, so that a
 * target that sends very many doesn't hold up other requests. Returns a promise
 * if reading should pause.
 */
export function forwardInTurns(
  events: readonly ServerSentEvent[],
  input: {
    /** Whether the answer has ended, after which nothing is forwarded. */
    isEnded(): boolean;
    forward(event: ServerSentEvent): Promise<void> | undefined;
  },
): Promise<void> | undefined {
  let backpressure: Promise<void> | undefined;
  for (const event of events.slice(0, MAX_EVENTS_PER_TURN)) {
    if (input.isEnded()) return undefined;
    backpressure = input.forward(event) ?? backpressure;
  }
  if (events.length <= MAX_EVENTS_PER_TURN) return backpressure;
  const rest = events.slice(MAX_EVENTS_PER_TURN);
  const pause = backpressure ?? new Promise<void>((done) => setImmediate(done));
  return pause.then(() => forwardInTurns(rest, input));
}
