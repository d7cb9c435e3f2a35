/**
 * Bounds the work that bodies of callers make in one turn of the event loop, so
 * that other requests are served in between. A chunk costs several microseconds
 * however small it is: 64 KiB of chunks of one byte, which one read of a socket
 * may bring, take more than 30 ms of a full core.
 */
import type { Socket } from "node:net";
import type { Bytes, Millis, MonotonicTime } from "../../core/mod.ts";
import { createGarbageCollector } from "./collect_garbage.ts";

/** Bytes whose processing costs as much as what each chunk costs besides. */
const CHUNK_COST: Bytes = 4_096;

/** Cost after which no other connection is read in this turn. */
const MAX_TURN_COST: Bytes = 1_048_576;

/**
 * Chunks of one connection in a turn from which it is read in turns with others
 * like it. A sender of chunks of 4 KiB or more doesn't reach it before
 * {@link MAX_TURN_COST}.
 */
const MAX_TURN_CHUNKS = 128;

/** Time for others after each read of a costly connection, as a multiple of it. */
const REST_FACTOR = 2;

const MIN_REST: Millis = 1;

/** The connections whose reading is paused and resumed. */
export class ReadTurns {
  readonly #readTime: () => MonotonicTime;
  readonly #readers = new Set<TurnReader>();
  /** Costly connections that wait to be read, the next one first. */
  readonly #queue: TurnReader[] = [];
  #turn = 0;
  #turnStartedAt: MonotonicTime | undefined;
  #cost: Bytes = 0;
  #isHeld = false;
  #hasCostly = false;
  #nextAt: MonotonicTime = 0;
  #timer: NodeJS.Timeout | undefined;

  /** Size of the chunks after which their garbage is collected. */
  uncollectedBytes: Bytes;
  #chunkBytes: Bytes = 0;
  #collectGarbage: (() => void) | undefined;

  constructor(
    input: {
      readonly readTime: () => MonotonicTime;
      readonly uncollectedBytes: Bytes;
    },
  ) {
    this.#readTime = input.readTime;
    this.uncollectedBytes = input.uncollectedBytes;
  }

  /** Adds a connection, until it closes. */
  add(socket: Socket): TurnReader {
    const reader = new TurnReader(socket);
    if (socket.destroyed) return reader;
    this.#readers.add(reader);
    socket.once("close", () => this.#readers.delete(reader));
    return reader;
  }

  /** Records a chunk of a body; the connection may be paused. */
  recordChunk(reader: TurnReader, bytes: Bytes): void {
    if (this.#turnStartedAt === undefined) {
      this.#turnStartedAt = this.#readTime();
      setImmediate(() => this.#endTurn());
    }
    this.#cost += CHUNK_COST + bytes;
    this.#chunkBytes += bytes;
    const chunks = reader.countChunk(this.#turn);
    if (chunks > MAX_TURN_CHUNKS && !reader.isQueued) {
      this.#hasCostly = true;
      reader.isQueued = true;
      this.#queue.push(reader);
      reader.pause();
    }
    if (this.#cost > MAX_TURN_COST && !this.#isHeld) {
      this.#isHeld = true;
      for (const each of this.#readers) each.hold();
    }
  }

  #endTurn(): void {
    const now = this.#readTime();
    const duration = now - (this.#turnStartedAt ?? now);
    this.#turnStartedAt = undefined;
    this.#cost = 0;
    this.#turn++;
    if (this.#isHeld) {
      for (const each of this.#readers) each.endHold();
    }
    this.#isHeld = false;
    if (this.#chunkBytes > this.uncollectedBytes) {
      this.#chunkBytes = 0;
      this.#collectGarbage ??= createGarbageCollector();
      this.#collectGarbage();
    }
    if (!this.#hasCostly) return;
    this.#hasCostly = false;
    this.#nextAt = now + Math.max(MIN_REST, duration * REST_FACTOR);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#timer !== undefined || this.#queue.length === 0) return;
    const wait = Math.max(MIN_REST, this.#nextAt - this.#readTime());
    this.#timer = setTimeout(() => this.#readNext(), wait);
  }

  #readNext(): void {
    this.#timer = undefined;
    if (this.#readTime() >= this.#nextAt) this.#queue.shift()?.leaveQueue();
    this.#schedule();
  }
}

/** The reading of one connection. */
export class TurnReader {
  /** Whether it waits to be read after others. */
  isQueued = false;
  readonly #socket: Socket;
  #turn = 0;
  /** Chunks in that turn. */
  #chunks = 0;
  #isHeld = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    // Node resumes the socket whenever it has room for more of the body.
    socket.on("resume", () => {
      if (this.#isHeld || this.isQueued) socket.pause();
    });
  }

  /** Counts a chunk; returns how many there were in the turn. */
  countChunk(turn: number): number {
    if (turn !== this.#turn) this.#chunks = 0;
    this.#turn = turn;
    return ++this.#chunks;
  }

  pause(): void {
    this.#socket.pause();
  }

  /** Pauses until the end of the turn, unless Node has paused the socket. */
  hold(): void {
    if (this.isQueued || this.#socket.isPaused()) return;
    this.#isHeld = true;
    this.#socket.pause();
  }

  endHold(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    if (!this.isQueued) this.#socket.resume();
  }

  /** Reads on after the connections that waited before it. */
  leaveQueue(): void {
    this.isQueued = false;
    if (!this.#socket.destroyed) this.#socket.resume();
  }
}
