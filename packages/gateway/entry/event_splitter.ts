/**
 * Splits a stream of server-sent events (SSE) into complete events without
 * changing their bytes, so that an interrupted stream can be resumed at another
 * target after its last complete event.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const CONTENT_FIELD = /(?:^|\n|\r)(?:data|id):/;
const ID_FIELD = /(?:^|\n|\r)id: ?([^\r\n]*)/g;

/** One complete event, including the blank line that ends it. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Its last `id` field, if it has one. */
  readonly id?: string;
  /** Whether it has data or an id; a comment that keeps a line open has none. */
  readonly hasContent: boolean;
}

/** Splits a stream, received in chunks, into events. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);
  /** Memory that begins with the remainder and has space to append to it. */
  #memory: Buffer = this.#remainder;

  /** Appends received bytes and returns the events that they complete. */
  push(bytes: Buffer): ServerSentEvent[] {
    // The blank line may begin in the last 3 bytes of the remainder.
    let from = Math.max(0, this.#remainder.length - 3);
    let buffer = this.#append(bytes);
    const events: ServerSentEvent[] = [];
    for (;;) {
      const end = findEventEnd(buffer, from);
      if (end === undefined) break;
      events.push(createEvent(buffer.subarray(0, end)));
      buffer = buffer.subarray(end);
      from = 0;
    }
    if (events.length > 0) this.#memory = buffer;
    this.#remainder = buffer;
    return events;
  }

  /**
   * Returns the remainder with bytes appended. Its memory grows by doubling, so
   * that an event in many chunks is copied only a few times.
   */
  #append(bytes: Buffer): Buffer {
    const { length } = this.#remainder;
    if (length === 0) return this.#memory = bytes;
    const newLength = length + bytes.length;
    if (newLength > this.#memory.length) {
      const memory = Buffer.allocUnsafe(2 * newLength);
      this.#remainder.copy(memory);
      this.#memory = memory;
    }
    bytes.copy(this.#memory, length);
    return this.#memory.subarray(0, newLength);
  }

  /** Memory that the splitter uses, in bytes. */
  get memoryBytes(): number {
    return this.#memory.length;
  }

  /** Number of bytes after the last complete event. */
  get remainderBytes(): number {
    return this.#remainder.length;
  }

  /** Returns and clears the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const remainder = this.#remainder;
    this.#remainder = Buffer.alloc(0);
    this.#memory = this.#remainder;
    return remainder;
  }
}

/** Returns the index after the next blank line, or undefined without one. */
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
  const hasContent = CONTENT_FIELD.test(text);
  return { bytes, hasContent, ...(id === undefined ? {} : { id }) };
}
