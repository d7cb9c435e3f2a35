/**
 * Connections to a target that a peer relays, by the method `CONNECT` of HTTP.
 * Once established, one carries the bytes of both sides like a direct
 * connection; nothing is sent to the target before.
 */
import { request as startHttp } from "node:http";
import type { Socket } from "node:net";
import type { Millis, VmId } from "../core/mod.ts";
import { isRefusedConnection } from "./probe_connection.ts";

/** What became of a connection that a peer was asked for. */
export enum RelayOutcome {
  Connected = "connected",
  /** The target's machine answered the peer that no process listens. */
  Refused = "refused",
  /** The peer could not connect to the target either. */
  Unreachable = "unreachable",
  /** The peer doesn't list the target, or not any more. */
  Unlisted = "unlisted",
  /** The peer relays nothing now, or doesn't answer. */
  Declined = "declined",
}

/** Status of a peer's answer for each outcome. */
export const RELAY_STATUS: Readonly<Record<RelayOutcome, number>> = {
  [RelayOutcome.Connected]: 200,
  [RelayOutcome.Refused]: 502,
  [RelayOutcome.Unreachable]: 504,
  [RelayOutcome.Unlisted]: 404,
  [RelayOutcome.Declined]: 503,
};

/** A relayed connection, or why there is none. */
export type RelayAnswer =
  | { readonly outcome: RelayOutcome.Connected; readonly socket: Socket }
  | { readonly outcome: Exclude<RelayOutcome, RelayOutcome.Connected> };

const RELAYS = new WeakMap<Socket, VmId>();

/** Returns the peer that relays a connection; undefined for a direct one. */
export function findRelay(socket: Socket | null): VmId | undefined {
  return socket === null ? undefined : RELAYS.get(socket);
}

/** What to ask of which peer. */
export interface RelayRequest {
  readonly peer: { readonly vm: VmId; readonly address: string };
  /** Key of the peer's server. */
  readonly key: string;
  /** `host:port` of the target. */
  readonly target: string;
  readonly timeout: Millis;
}

/** Asks a peer for a connection to a target. Resolves and never rejects. */
export function startRelayedConnection(
  input: RelayRequest,
): Promise<RelayAnswer> {
  return new Promise((resolve) => {
    try {
      sendConnect(input, resolve);
    } catch {
      // The address or the key of the peer's row can't be used.
      resolve({ outcome: RelayOutcome.Declined });
    }
  });
}

function sendConnect(
  { peer, key, target, timeout }: RelayRequest,
  resolve: (answer: RelayAnswer) => void,
): void {
  const decline = () => resolve({ outcome: RelayOutcome.Declined });
  const outgoing = startHttp(`http://${peer.address}`, {
    method: "CONNECT",
    path: target,
    headers: { host: target, "proxy-authorization": `Bearer ${key}` },
    agent: false,
  });
  const timer = setTimeout(() => {
    decline();
    outgoing.destroy();
  }, timeout);
  outgoing.on("close", () => clearTimeout(timer));
  outgoing.on("error", decline);
  outgoing.on("response", (incoming) => {
    incoming.destroy();
    decline();
  });
  outgoing.on("connect", (answer, socket: Socket, head: Buffer) => {
    clearTimeout(timer);
    // Without a listener, a reset before its first request ends the process.
    socket.on("error", () => {});
    const outcome = findOutcome(answer.statusCode ?? 0);
    if (outcome !== RelayOutcome.Connected) {
      socket.destroy();
      return resolve({ outcome });
    }
    if (head.length > 0) socket.unshift(head);
    RELAYS.set(socket, peer.vm);
    resolve({ outcome, socket });
  });
  outgoing.end();
}

function findOutcome(status: number): RelayOutcome {
  return Object.values(RelayOutcome)
    .find((each) => RELAY_STATUS[each] === status) ?? RelayOutcome.Declined;
}

/** Returns what a failed connection to a target says about it. */
export function findConnectOutcome(
  error: Error,
): RelayOutcome.Refused | RelayOutcome.Unreachable {
  return isRefusedConnection(error)
    ? RelayOutcome.Refused
    : RelayOutcome.Unreachable;
}

/**
 * Forwards the bytes of two connections to each other. The end of one ends the
 * other, and a reset resets it, so that an answer without a length that was cut
 * off doesn't seem complete.
 */
export function forwardConnections(left: Socket, right: Socket): void {
  forwardBytes(left, right);
  forwardBytes(right, left);
}

function forwardBytes(from: Socket, to: Socket): void {
  from.setNoDelay(true);
  from.on("error", () => to.resetAndDestroy());
  from.on("end", () => {
    // libuv reports a reset that follows data as a normal end.
    if (from.remoteAddress === undefined) to.resetAndDestroy();
    else to.end();
  });
  from.on("close", () => to.destroySoon());
  from.pipe(to, { end: false });
}
