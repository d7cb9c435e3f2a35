/**
 * The open connections of callers: what each is doing, what it holds, and when
 * it is closed to protect the VM.
 */
import type { Socket } from "node:net";
import type { Bytes, Millis, MonotonicTime, Undo } from "../../core/mod.ts";
import type { CallerLimits } from "../../routes/mod.ts";
import { waitForPendingReads } from "../../runtime/mod.ts";
import {
  chooseClosedConnection,
  CloseReason,
  ConnectionPhase,
  type ConnectionState,
  type ConnectionTimes,
  findExceededLimit,
} from "./connection_limits.ts";
import type { MachineLimits } from "./machine_limits.ts";
import { ReadTurns, type TurnReader } from "./read_turns.ts";
import {
  MemoryKind,
  type MemoryShare,
  RequestMemory,
} from "./request_memory.ts";

/** Limits in force until the first configuration replaces them. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeout: 5_000,
  idleTimeout: 15_000,
};

/** Interval between two checks of all connections. */
const CHECK_INTERVAL: Millis = 250;

/**
 * Memory of a connection with a request: 10 to 16 KB were measured, without the
 * head.
 */
const CONNECTION_BYTES: Bytes = 16_384;

/** Maximum size of a head, by the parser; what arrives before its end is kept. */
export const MAX_HEAD_BYTES: Bytes = 65_536;

/** Bytes of a progressing body that count as progress. */
const MIN_PROGRESS_BYTES: Bytes = 16_384;

/**
 * Maximum number of refused requests that are discarded at the same time; the
 * connection of the oldest is closed for another.
 */
const MAX_DISCARDED_REQUESTS = 32;

/** Memory of a chunk that is discarded, until it is collected. */
const DISCARDED_BYTES: Bytes = 65_536;

/** Sent to a caller whose head doesn't arrive in time. */
const SLOW_HEAD_ANSWER =
  "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** A connection that was closed, or whose request was refused. */
export interface ClosedConnection {
  readonly reason: CloseReason;
  readonly address: string;
  readonly phase: ConnectionPhase;
  readonly bodyBytes: Bytes;
  /** Time since the phase began. */
  readonly age: Millis;
}

/** Dependencies of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly readTime: () => MonotonicTime;
  readonly machine: MachineLimits;
  readonly recordClosed: (closed: ClosedConnection) => void;
  /** Called regularly. */
  readonly recordHeld: (connections: CallerConnections) => void;
}

/** All open connections of callers of one gateway. */
export class CallerConnections {
  /** Limits of the configuration in use. */
  limits = INITIAL_LIMITS;
  readonly memory: RequestMemory;
  readonly turns: ReadTurns;
  readonly #options: CallerConnectionsOptions;
  readonly #open = new Map<Socket, CallerConnection>();
  readonly #discarding = new Set<CallerConnection>();
  #maxConnections: number;
  #checkedAt: MonotonicTime;
  /** Time for which the process stood still, which callers are not blamed for. */
  #stoodStill: Millis = 0;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
    this.#maxConnections = options.machine.connections;
    this.#checkedAt = options.readTime();
    this.memory = new RequestMemory({
      capacity: options.machine.requestBytes,
      readTime: () => this.readTime(),
    });
    this.turns = new ReadTurns({
      readTime: options.readTime,
      uncollectedBytes: options.machine.uncollectedBytes,
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.#open.size;
  }

  /** Returns the time, without the time for which the process stood still. */
  readTime(): MonotonicTime {
    return this.#options.readTime() - this.#stoodStill;
  }

  /** Begins to check the connections regularly. */
  start(): Undo {
    this.#checkedAt = this.#options.readTime();
    const timer = setInterval(() => this.#check(), CHECK_INTERVAL).unref();
    return () => clearInterval(timer);
  }

  /** Changes what the machine gives; what is open already stays. */
  changeMachine(machine: MachineLimits): void {
    this.#maxConnections = machine.connections;
    this.memory.changeCapacity(machine.requestBytes);
    this.turns.uncollectedBytes = machine.uncollectedBytes;
  }

  /** Adds an accepted connection, or closes one, this or another. */
  add(socket: Socket): void {
    if (this.#open.size >= this.#maxConnections) {
      const open = [...this.#open.values()];
      const chosen = chooseClosedConnection(open, this.readTime());
      if (chosen === undefined) return void socket.destroy();
      this.close(chosen, CloseReason.Descriptors);
    }
    this.find(socket);
  }

  /** Returns the connection of a socket, which is added if it is not known. */
  find(socket: Socket): CallerConnection {
    const known = this.#open.get(socket);
    if (known !== undefined) return known;
    const added = new CallerConnection(socket, this);
    // A request may still be parsed when its connection was closed.
    if (socket.closed) added.release();
    else if (!socket.destroyed) this.#open.set(socket, added);
    socket.once("close", () => {
      this.#open.delete(socket);
      added.release();
    });
    return added;
  }

  /** Records that a connection was closed, or its request refused. */
  recordClosed(connection: CallerConnection, reason: CloseReason): void {
    const { address, phase, bodyBytes, since } = connection;
    const age = this.readTime() - since;
    this.#options.recordClosed({ reason, address, phase, bodyBytes, age });
  }

  /** Closes a connection at once. */
  close(connection: CallerConnection, reason: CloseReason): void {
    this.recordClosed(connection, reason);
    this.#open.delete(connection.socket);
    connection.socket.destroy();
  }

  /** Adds a request that is discarded; the oldest one may be ended for it. */
  addDiscarded(connection: CallerConnection): void {
    this.#discarding.add(connection);
    if (this.#discarding.size <= MAX_DISCARDED_REQUESTS) return;
    const oldest = [...this.#discarding][0]!;
    this.#discarding.delete(oldest);
    this.close(oldest, CloseReason.Discarding);
  }

  removeDiscarded(connection: CallerConnection): void {
    this.#discarding.delete(connection);
  }

  #check(): void {
    const now = this.#options.readTime();
    const late = now - this.#checkedAt - CHECK_INTERVAL;
    if (late > CHECK_INTERVAL) this.#stoodStill += late;
    this.#checkedAt = now;
    this.memory.observe();
    this.memory.blocks.trim();
    this.#options.recordHeld(this);
    const observedAt = this.readTime();
    for (const connection of this.#open.values()) {
      connection.observe(observedAt);
      if (findExceededLimit(connection, observedAt) !== undefined) {
        void this.#closeSlow(connection);
      }
    }
  }

  /** Closes a connection whose time is over, unless more of it has arrived. */
  async #closeSlow(connection: CallerConnection): Promise<void> {
    await waitForPendingReads();
    const now = this.readTime();
    connection.observe(now);
    const reason = findExceededLimit(connection, now);
    if (reason === undefined || connection.socket.destroyed) return;
    if (reason === CloseReason.SlowBody) {
      this.recordClosed(connection, reason);
      return connection.cutBody();
    }
    if (reason === CloseReason.SlowHead) {
      connection.socket.write(SLOW_HEAD_ANSWER);
    }
    this.close(connection, reason);
  }
}

/** One connection of a caller. */
export class CallerConnection implements ConnectionState {
  readonly socket: Socket;
  readonly address: string;
  readonly reader: TurnReader;
  phase = ConnectionPhase.Idle;
  since: MonotonicTime;
  times: ConnectionTimes;
  bodyBytes: Bytes = 0;
  lastByteAt: MonotonicTime;
  progressAt: MonotonicTime;
  readonly #connections: CallerConnections;
  readonly #share: MemoryShare;
  #discardShare: MemoryShare | undefined;
  #openRequests = 0;
  #headBytes: Bytes = 0;
  /** Bytes that had been read when the connection became idle. */
  #idleBytes: Bytes = 0;
  #seenBytes: Bytes = 0;
  #progressBytes: Bytes = 0;
  #cutBody: (() => void) | undefined;
  #isReleased = false;

  constructor(socket: Socket, connections: CallerConnections) {
    this.socket = socket;
    this.address = socket.remoteAddress ?? "";
    this.#connections = connections;
    this.reader = connections.turns.add(socket);
    this.#share = connections.memory.open(MemoryKind.Connection);
    this.#hold(0);
    this.since = connections.readTime();
    this.lastByteAt = this.since;
    this.progressAt = this.since;
    this.times = connections.limits;
  }

  /** The account that requests of this connection hold memory of. */
  get memory(): RequestMemory {
    return this.#connections.memory;
  }

  /** Records that the head of a request has arrived. */
  startRequest(headBytes: Bytes): void {
    this.#openRequests++;
    this.#headBytes += headBytes;
    this.#hold(this.#headBytes);
    if (this.#openRequests === 1) this.#enter(ConnectionPhase.Busy);
  }

  /** Records that a request was answered. */
  endRequest(headBytes: Bytes): void {
    this.#openRequests--;
    this.#headBytes -= headBytes;
    this.#hold(this.#headBytes);
    if (this.#openRequests > 0) return;
    this.#idleBytes = this.socket.bytesRead;
    this.#enter(ConnectionPhase.Idle);
  }

  /** Records that a body is expected; `cut` refuses it if it is too slow. */
  startBody(cut: () => void): void {
    this.#cutBody = cut;
    this.#enter(ConnectionPhase.Body);
  }

  /** Records a chunk of a body, or of the rest of one. */
  recordChunk(bytes: Bytes): void {
    this.bodyBytes += bytes;
    this.#connections.turns.recordChunk(this.reader, bytes);
  }

  /** Records that a body has arrived, or is not waited for any more. */
  endBody(): void {
    this.#cutBody = undefined;
    this.#enter(ConnectionPhase.Busy);
  }

  /** Refuses the body that arrives. */
  cutBody(): void {
    this.#cutBody?.();
  }

  /** Records that the request was refused since there is no memory left. */
  recordOutOfMemory(): void {
    this.#connections.recordClosed(this, CloseReason.Memory);
  }

  /** Records that the rest of a refused request is discarded from now on. */
  startDiscarding(): void {
    if (this.#isReleased) return;
    this.#enter(ConnectionPhase.Rest);
    this.#discardShare = this.memory.open(MemoryKind.Discarded);
    this.#discardShare.hold(DISCARDED_BYTES);
    this.#connections.addDiscarded(this);
  }

  endDiscarding(): void {
    this.#discardShare?.release();
    this.#connections.removeDiscarded(this);
  }

  /** Records what has arrived since the last time. */
  observe(now: MonotonicTime): void {
    const isIdle = this.phase === ConnectionPhase.Idle;
    if (isIdle && this.socket.bytesRead > this.#idleBytes) {
      this.#enter(ConnectionPhase.Head);
    }
    if (this.phase === ConnectionPhase.Head) {
      const arrived = this.socket.bytesRead - this.#idleBytes;
      this.#hold(Math.min(arrived, MAX_HEAD_BYTES));
    }
    // A caller whose connection waits to be read is not silent.
    const isActive = this.bodyBytes > this.#seenBytes || this.reader.isQueued;
    if (isActive) this.lastByteAt = now;
    this.#seenBytes = this.bodyBytes;
    if (this.bodyBytes - this.#progressBytes < MIN_PROGRESS_BYTES) return;
    this.#progressBytes = this.bodyBytes;
    this.progressAt = now;
  }

  /** Returns all memory of a closed connection. */
  release(): void {
    this.#isReleased = true;
    this.#share.release();
    this.endDiscarding();
  }

  #hold(headBytes: Bytes): void {
    if (!this.#isReleased) this.#share.hold(CONNECTION_BYTES + headBytes);
  }

  #enter(phase: ConnectionPhase): void {
    this.phase = phase;
    this.since = this.#connections.readTime();
    this.times = this.#connections.limits;
    this.lastByteAt = this.since;
    this.progressAt = this.since;
    this.bodyBytes = 0;
    this.#seenBytes = 0;
    this.#progressBytes = 0;
  }
}
