/**
 * Keep-alive connections to one server. The time that a connection may take
 * adapts to the path, and several attempts run side by side.
 */
import { Agent, type ClientRequestArgs } from "node:http";
import { createConnection, type NetConnectOpts, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { RandomSource } from "../core/mod.ts";
import { AdaptiveTimeout, type TimeoutRange } from "./adaptive_timeout.ts";
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

/** An HTTP agent for calls to one server. */
export class AdaptiveAgent extends Agent {
  readonly #options: AdaptiveAgentOptions;
  readonly #limit: AdaptiveTimeout;

  constructor(options: AdaptiveAgentOptions) {
    super({ keepAlive: true });
    this.#options = options;
    this.#limit = new AdaptiveTimeout(options.connectTimeout);
  }

  override createConnection(
    target: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): undefined {
    const { connect = createConnection, connectTimeout, random } =
      this.#options;
    const startedAt = performance.now();
    const fail = (error: Error) => callback?.(error, undefined as never);
    startConnecting({
      connect: () => connect(target as NetConnectOpts),
      interval: connectTimeout.initial,
      limit: this.#limit.value,
    }, {
      onConnected: (socket, duration) => {
        this.#limit.recordDuration(duration, performance.now());
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
}
