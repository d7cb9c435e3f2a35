/**
 * Splits the bytes of an event stream into whole events, unchanged, so that a
 * stream can go on at another target after its last whole event.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /(?:^|\n|\r)id: ?([^\r\n]*)/g;

/** One event with the blank line that ends it. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Its id, where it has one. */
  readonly id?: string;
}

/** Cuts a stream into events. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** Takes bytes as they come and returns the events that they complete. */
  push(bytes: Buffer): ServerSentEvent[] {
    let buffer = this.#remainder.length === 0
      ? bytes
      : Buffer.concat([this.#remainder, bytes]);
    // A blank line may have begun in what was kept.
    let from = Math.max(0, this.#remainder.length - 3);
    const events: ServerSentEvent[] = [];
    for (;;) {
      const end = findEventEnd(buffer, from);
      if (end === undefined) break;
      events.push(createEvent(buffer.subarray(0, end)));
      buffer = buffer.subarray(end);
      from = 0;
    }
    this.#remainder = buffer;
    return events;
  }

  /** Returns the bytes after the last whole event and forgets them. */
  takeRemainder(): Buffer {
    const remainder = this.#remainder;
    this.#remainder = Buffer.alloc(0);
    return remainder;
  }
}

/** Returns the index after a blank line, or undefined. */
function findEventEnd(buffer: Buffer, from: number): number | undefined {
  let index = buffer.indexOf(LINE_FEED, from);
  while (index >= 0) {
    const next = buffer[index + 1];
    if (next === LINE_FEED) return index + 2;
    if (next === CARRIAGE_RETURN && buffer[index + 2] === LINE_FEED) {
      return index + 3;
    }
    index = buffer.indexOf(LINE_FEED, index + 1);
  }
  return undefined;
}

function createEvent(bytes: Buffer): ServerSentEvent {
  const text = bytes.toString("latin1");
  let id: string | undefined;
  for (const match of text.matchAll(ID_FIELD)) id = match[1];
  return id === undefined ? { bytes } : { bytes, id };
}
