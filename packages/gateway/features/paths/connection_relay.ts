/**
 * Relays connections of peers to targets that this VM reaches and they don't. It
 * relays over its own path only, so that a connection has one peer at most.
 */
import type { IncomingMessage, Server } from "node:http";
import { connect, type Socket } from "node:net";
import type { Millis, MonotonicTime, TargetId } from "../../../core/mod.ts";
import { isPeerKey } from "../../../peer/mod.ts";
import {
  findConnectOutcome,
  forwardConnections,
  RELAY_STATUS,
  RelayOutcome,
} from "../../../ports/mod.ts";
import type { ListedTarget } from "../../dialect.ts";
import type { GatewayContext } from "../../gateway_context.ts";

/**
 * Maximum number of connections relayed at once, so that peers leave room for
 * this VM's own callers.
 */
const MAX_RELAYED = 256;

/** Time limit of a connection to a target: some round trips between regions. */
const CONNECT_TIMEOUT: Millis = 400;

/**
 * Time without bytes after which an answer that has begun counts as ended. Sound
 * targets fall silent for a second or so.
 */
const MAX_ANSWER_SILENCE: Millis = 2_000;

/** What passes on a relayed connection. */
interface RelayUse {
  /** Whether the peer has sent bytes since the target did. */
  isAwaitingAnswer: boolean;
  /** Time of the newest bytes of the target. */
  answeredAt: MonotonicTime;
}

/** What a relay needs to know of this VM. */
export interface ConnectionRelayOptions {
  /** Key that peers must send. */
  readonly key: string;
  /** Returns the listed target at `host:port`; undefined if there is none. */
  readonly findTargetAt: (address: string) => ListedTarget | undefined;
  /** Whether this VM's own path to a target is lost. */
  readonly isPathLost: (target: TargetId) => boolean;
}

/** Serves the method `CONNECT` on the server for peers. */
export class ConnectionRelay {
  readonly #context: GatewayContext;
  readonly #options: ConnectionRelayOptions;
  readonly #sockets = new Map<Socket, RelayUse>();
  #isStopping = false;

  constructor(context: GatewayContext, options: ConnectionRelayOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Begins to serve on a server for peers. */
  attach(server: Server): void {
    server.on(
      "connect",
      (request: IncomingMessage, socket: Socket) =>
        this.#serve(request, socket),
    );
  }

  /** Accepts no more connections, for a planned stop. */
  startDrain(): void {
    this.#isStopping = true;
  }

  /** Returns the number of connections with a request in progress. */
  countInUse(): number {
    const now = this.#context.clock.readMonotonic();
    let count = 0;
    for (const { isAwaitingAnswer, answeredAt } of this.#sockets.values()) {
      if (isAwaitingAnswer || now - answeredAt < MAX_ANSWER_SILENCE) count++;
    }
    return count;
  }

  /** Closes all relayed connections. */
  close(): void {
    this.#isStopping = true;
    for (const socket of this.#sockets.keys()) socket.destroy();
  }

  #serve(request: IncomingMessage, socket: Socket): void {
    socket.on("error", () => socket.destroy());
    const decline = () => finish(socket, RelayOutcome.Declined);
    const authorization = request.headers["proxy-authorization"];
    if (!isPeerKey(authorization, this.#options.key)) return decline();
    if (this.#isStopping || this.#sockets.size >= MAX_RELAYED) return decline();
    const target = this.#options.findTargetAt(request.url ?? "");
    if (target === undefined) return finish(socket, RelayOutcome.Unlisted);
    if (this.#options.isPathLost(target.id)) return decline();
    this.#connect(socket, target);
  }

  #connect(socket: Socket, { host, port }: ListedTarget): void {
    const { clock, metrics } = this.#context;
    const targetSocket = connect({ host, port });
    const use: RelayUse = { isAwaitingAnswer: false, answeredAt: -Infinity };
    this.#sockets.set(socket, use);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      targetSocket.destroy();
      metrics.relayedForPeers.set(this.#sockets.size);
    });
    metrics.relayedForPeers.set(this.#sockets.size);
    const timer = setTimeout(
      () => targetSocket.destroy(new Error("no connection in time")),
      CONNECT_TIMEOUT,
    );
    const fail = (error: Error) => finish(socket, findConnectOutcome(error));
    targetSocket.once("error", fail);
    targetSocket.once("close", () => clearTimeout(timer));
    targetSocket.once("connect", () => {
      clearTimeout(timer);
      targetSocket.removeListener("error", fail);
      forwardConnections(socket, targetSocket);
      socket.on("data", () => (use.isAwaitingAnswer = true));
      targetSocket.on("data", () => {
        use.isAwaitingAnswer = false;
        use.answeredAt = clock.readMonotonic();
      });
      socket.write(formatAnswer(RelayOutcome.Connected));
    });
  }
}

function finish(socket: Socket, outcome: RelayOutcome): void {
  if (!socket.writableEnded) socket.end(formatAnswer(outcome));
}

function formatAnswer(outcome: RelayOutcome): string {
  return `HTTP/1.1 ${RELAY_STATUS[outcome]} ${outcome}\r\n\r\n`;
}
