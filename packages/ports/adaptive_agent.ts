/**
 * Keep-alive connections to one server. The time that a connection may take
 * adapts to the path, and several attempts run side by side. A connection whose
 * answer is late is kept until it arrives, and meanwhile others are opened
 * rarely.
 */
import { Agent, type ClientRequestArgs } from "node:http";
import { createConnection, type NetConnectOpts, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Millis, RandomSource } from "../core/mod.ts";
import { AdaptiveTimeout, type TimeoutRange } from "./adaptive_timeout.ts";
import { LateConnections } from "./late_connections.ts";
import { startConnecting } from "./racing_connector.ts";

/** Starts one attempt to connect. */
export type StartConnection = (options: NetConnectOpts) => Socket;

/** Options of an {@link AdaptiveAgent}. */
export interface AdaptiveAgentOptions {
  /**
   * Maximum time to connect. Another attempt starts each time its initial value
   * has passed.
   */
  readonly connectTimeout: TimeoutRange;
  readonly random: RandomSource;
  /** Connects over TCP by default. */
  readonly connect?: StartConnection;
}

/** Maximum time for which a connection is kept for a late answer. */
const MAX_LATE_TIME: Millis = 60_000;

/** Maximum number of connections that are kept for late answers. */
const MAX_LATE_CONNECTIONS = 64;

/** An HTTP agent for calls to one server. */
export class AdaptiveAgent extends Agent {
  readonly #options: AdaptiveAgentOptions;
  readonly #limit: AdaptiveTimeout;
  readonly #late: LateConnections<Socket>;
  /** Connections that are kept for late answers. */
  readonly #kept = new Set<Duplex>();
  /** Calls that wait for a connection. */
  readonly #waiting = new Set<() => void>();
  #openingTimer: NodeJS.Timeout | undefined;

  constructor(options: AdaptiveAgentOptions) {
    super({ keepAlive: true });
    this.#options = options;
    this.#limit = new AdaptiveTimeout(options.connectTimeout);
    this.#late = new LateConnections(options.connectTimeout.initial);
    // Runs after the listener of the base class, which keeps the connection.
    this.on("free", (socket: Duplex) => {
      this.#kept.delete(socket);
      if (!socket.destroyed) this.#startNext();
    });
  }

  /**
   * Resolves when a call may be sent: if a connection is idle, or if another one
   * may be opened. Returns false if none may within the maximum time to connect.
   */
  async waitConnection(): Promise<boolean> {
    if (this.#waiting.size === 0) {
      if (Object.keys(this.freeSockets).length > 0) return true;
      const now = performance.now();
      if (this.#late.nextOpening <= now) {
        // Now, since other calls may come before this one connects.
        this.#late.recordOpening(now);
        return true;
      }
    }
    return await new Promise<boolean>((resolve) => {
      const start = () => {
        clearTimeout(limitTimer);
        resolve(true);
      };
      const limitTimer = setTimeout(() => {
        this.#waiting.delete(start);
        resolve(false);
      }, this.#options.connectTimeout.max);
      this.#waiting.add(start);
      this.#startAllowed();
    });
  }

  /**
   * Keeps the connection of a call that has exceeded its time limit. Returns for
   * how long; 0 if it has to be closed.
   */
  readonly keepLate = (socket: Socket): Millis => {
    if (this.#kept.size >= MAX_LATE_CONNECTIONS) return 0;
    this.#kept.add(socket);
    this.#late.recordLate(socket);
    // It doesn't keep the process running.
    socket.unref();
    return MAX_LATE_TIME;
  };

  override createConnection(
    target: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): undefined {
    const { connect = createConnection, connectTimeout, random } =
      this.#options;
    const startedAt = performance.now();
    const fail = (error: Error) => callback?.(error, undefined as never);
    this.#late.recordOpening(startedAt);
    startConnecting({
      connect: () => connect(target as NetConnectOpts),
      interval: connectTimeout.initial,
      limit: this.#limit.value,
    }, {
      onConnected: (socket, duration) => {
        this.#limit.recordDuration(duration, performance.now());
        this.#follow(socket);
        callback?.(null, socket);
      },
      onRefused: fail,
      onTimeout: (error) => {
        const now = performance.now();
        this.#limit.recordExceeded({ startedAt, now, random: random() });
        fail(error);
      },
    });
  }

  #follow(socket: Socket): void {
    this.#late.recordOpened(socket);
    socket.once("data", () => {
      this.#late.recordData(socket);
      // After a short answer, its connection is free by then.
      setImmediate(() => this.#startAllowed());
    });
    socket.once("close", () => {
      this.#kept.delete(socket);
      this.#late.recordClosed(socket);
      this.#startAllowed();
    });
  }

  /** Starts the waiting calls for which connections may be opened. */
  #startAllowed(): void {
    clearTimeout(this.#openingTimer);
    while (this.#waiting.size > 0) {
      const now = performance.now();
      const { nextOpening } = this.#late;
      if (nextOpening > now) {
        const start = () => this.#startAllowed();
        this.#openingTimer = setTimeout(start, Math.ceil(nextOpening - now));
        return;
      }
      this.#late.recordOpening(now);
      this.#startNext();
    }
  }

  #startNext(): void {
    for (const start of this.#waiting) {
      this.#waiting.delete(start);
      return start();
    }
  }
}
