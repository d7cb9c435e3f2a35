/**
 * Splits the bytes of an event stream into whole events, unchanged, so that a
 * stream can go on at another target after its last whole event.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /(?:^|\n|\r)id: ?([^\r\n]*)/g;

/** One event with the blank line that ends it. */
export interface WholeEvent {
  readonly bytes: Buffer;
  /** Its id, where it has one. */
  readonly id?: string;
}

/** Cuts a stream into events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Takes bytes as they come and returns the events that they complete. */
  push(bytes: Buffer): WholeEvent[] {
    let buffer = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    // A blank line may have begun in what was kept.
    let from = Math.max(0, this.#rest.length - 3);
    const events: WholeEvent[] = [];
    for (;;) {
      const end = findEnd(buffer, from);
      if (end === undefined) break;
      events.push(createEvent(buffer.subarray(0, end)));
      buffer = buffer.subarray(end);
      from = 0;
    }
    this.#rest = buffer;
    return events;
  }

  /** Returns the bytes after the last whole event and forgets them. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
  }
}

/** Returns the index after a blank line, or undefined. */
function findEnd(buffer: Buffer, from: number): number | undefined {
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

function createEvent(bytes: Buffer): WholeEvent {
  const text = bytes.toString("latin1");
  let id: string | undefined;
  for (const match of text.matchAll(ID_FIELD)) id = match[1];
  return id === undefined ? { bytes } : { bytes, id };
}
