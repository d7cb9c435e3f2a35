/**
 * Passes a caller's request on to the event's home VM, where duplicates meet
 * and grants are shared. A home that cannot be reached costs nothing: the
 * request is served here.
 */
import type { Agent, IncomingMessage, ServerResponse } from "node:http";
import type { EventConfig, VmId } from "../../core/mod.ts";
import { startExchange } from "../../ports/mod.ts";
import type { CallerRequest } from "../entry/caller_request.ts";
import { LogEvent } from "../../runtime/mod.ts";
import { createVmAgent } from "../http_server.ts";
import type { NodeContext } from "../node_context.ts";

/** Header by which one entry VM shows another that a request was forwarded. */
export const FORWARDED_HEADER = "x-anvilrail-forwarded";

/** Header with the entry VMs' shared key. */
export const PEER_KEY_HEADER = "x-anvilrail-peer-key";

/** Headers that belong to one connection and are not passed on. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "host",
]);

/** What the feature uses of others. */
export interface HomePorts {
  readonly peerKey: string;
  listHomes(event: EventConfig): readonly VmId[];
  /** Address of a VM's callers' face, if it is live. */
  findCallerAddress(vm: VmId): string | undefined;
}

/** One request to pass on. */
export interface ForwardInput {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly accepted: CallerRequest;
}

/** Forwards requests to home VMs. */
export class HomeForwarding {
  readonly #context: NodeContext;
  readonly #ports: HomePorts;
  readonly #agent: Agent;

  constructor(context: NodeContext, ports: HomePorts) {
    this.#context = context;
    this.#ports = ports;
    this.#agent = createVmAgent(context.settings.callers);
  }

  /** Closes every idle connection. */
  close(): void {
    this.#agent.destroy();
  }

  /** Returns true when the home has answered, or is answering, the caller. */
  async forward(input: ForwardInput): Promise<boolean> {
    const { event } = input.accepted;
    const { vm } = this.#context.settings;
    const homes = this.#ports.listHomes(event);
    const [home] = homes;
    if (home === undefined || homes.includes(vm)) return false;
    const address = this.#ports.findCallerAddress(home);
    return address === undefined ? false : await this.#send(input, address);
  }

  /** The key goes along, so that a run here and one there are one request. */
  #createHeaders(
    request: IncomingMessage,
    accepted: CallerRequest,
  ): Record<string, string> {
    return {
      ...filterHeaders(request.headers),
      "idempotency-key": accepted.requestKey,
      [FORWARDED_HEADER]: this.#context.settings.vm,
      [PEER_KEY_HEADER]: this.#ports.peerKey,
    };
  }

  async #send(input: ForwardInput, address: string): Promise<boolean> {
    const { request, response, accepted } = input;
    const { settings, log } = this.#context;
    const left = new AbortController();
    // An answer that went out whole leaves nothing to cancel.
    response.on("close", () => {
      if (!response.writableFinished) left.abort();
    });
    const scheme = settings.callers.tls === undefined ? "http" : "https";
    const started = await startExchange({
      method: "POST",
      url: `${scheme}://${address}${request.url}`,
      headers: this.#createHeaders(request, accepted),
      body: accepted.receivedBody,
      idleTimeout: 0,
      agent: this.#agent,
      signal: left.signal,
    });
    if (started.isLeft()) {
      const failure = started.swap().unsafeCoerce();
      log.warn(LogEvent.ForwardFailed, { address, reason: failure.detail });
      // Request keys and claims make a second run here as safe as a retry.
      return response.destroyed;
    }
    const incoming = started.unsafeCoerce();
    const headers = filterHeaders(incoming.headers);
    response.writeHead(incoming.statusCode ?? 502, headers);
    incoming.pipe(response, { end: false });
    incoming.on("end", () => {
      response.addTrailers(incoming.trailers as Record<string, string>);
      response.end();
    });
    incoming.on("error", () => response.destroy());
    return true;
  }
}

function filterHeaders(
  headers: IncomingMessage["headers"],
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      CONNECTION_HEADERS.has(name) || value === undefined
        ? []
        : [[name, String(value)]]
    ),
  );
}
