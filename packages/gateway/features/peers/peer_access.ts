/** What the features of a gateway use to call the other VMs, and to serve them. */
import { Agent, createServer, type Server } from "node:http";
import type { Millis, Undo } from "../../../core/mod.ts";
import {
  createGatewayRouter,
  createPeerHandler,
  type GatewayPeerHandlers,
  PeerClient,
} from "../../../peer/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { PeerList } from "./peer_list.ts";

/**
 * Timeout of a call to a peer. It covers a new connection and one call between
 * regions, each with a margin, and is short because a caller's request waits
 * for the answer.
 */
const PEER_TIMEOUT: Millis = 300;

/**
 * Maximum time that a call waits for one of the connections to a peer. It covers
 * several calls before it that the peer holds, or that get no connection.
 */
const PEER_QUEUE_TIMEOUT: Millis = 900;

/**
 * Maximum number of connections to one peer. One is not enough, since a call
 * may wait at the peer for an answer of the store.
 */
const MAX_SOCKETS_PER_PEER = 4;

/** Maximum time for which a peer holds a call until it has news. */
export const MAX_PEER_HOLD: Millis = 1_500;

/** The list of the other VMs and clients for calls to them. */
export class PeerAccess {
  readonly list: PeerList;
  readonly client: PeerClient;
  /** For calls that peers hold; on connections of their own. */
  readonly heldCallClient: PeerClient;

  constructor(context: GatewayContext) {
    this.list = new PeerList(context);
    this.client = new PeerClient({
      findKey: (address) => this.list.findKey(address),
      timeout: PEER_TIMEOUT,
      connectTimeout: PEER_TIMEOUT,
      queueTimeout: PEER_QUEUE_TIMEOUT,
      tls: false,
      agent: new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_PEER }),
    });
    this.heldCallClient = new PeerClient({
      findKey: (address) => this.list.findKey(address),
      timeout: MAX_PEER_HOLD + PEER_TIMEOUT,
      connectTimeout: PEER_TIMEOUT,
      tls: false,
      agent: new Agent({ keepAlive: true }),
    });
  }

  /** Registers the list of peers; its undo also closes the connections. */
  register(): Undo {
    const undo = this.list.register();
    return () => {
      undo();
      this.client.close();
      this.heldCallClient.close();
    };
  }

  /** Returns a server that handles the calls of other VMs. */
  createServer(handlers: GatewayPeerHandlers): Server {
    const router = createGatewayRouter(handlers);
    return createServer(createPeerHandler(router, this.list.key));
  }
}
