/**
 * Forwards a caller's request to the event's home VM, where duplicate requests
 * are joined and grants are shared. A request whose home VM cannot be reached
 * is served by this VM.
 */
import type { Agent, IncomingMessage, ServerResponse } from "node:http";
import type { EventConfig, Millis, VmId } from "../../core/mod.ts";
import { startExchange } from "../../ports/mod.ts";
import type { CallerRequest } from "../entry/caller_request.ts";
import { LogEvent } from "../../runtime/mod.ts";
import { createVmAgent } from "../http_server.ts";
import type { NodeContext } from "../node_context.ts";

/** Header of a forwarded request; names the entry VM that forwarded it. */
export const FORWARDED_HEADER = "x-anvilrail-forwarded";

/** Header with the entry VMs' shared key, which authenticates a forwarder. */
export const PEER_KEY_HEADER = "x-anvilrail-peer-key";

/**
 * Maximum time to connect to a home VM; this VM serves the request itself after
 * that.
 */
const CONNECT_TIMEOUT: Millis = 700;

/**
 * Time after a request's deadline for the home VM's refusal to arrive. It ends a
 * call to the store in progress before it refuses.
 */
const REFUSAL_MARGIN: Millis = 5_000;

/** Headers that apply to one connection only and are not forwarded. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "host",
]);

/** What the feature uses of other features. */
export interface HomePorts {
  readonly peerKey: string;
  /** Returns an event's home VMs, in order of preference. */
  listHomes(event: EventConfig): readonly VmId[];
  /** Returns the address at which a VM serves callers, if it is known. */
  findCallerAddress(vm: VmId): string | undefined;
}

/** One request to forward. */
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

  /** Closes the connections to other VMs. */
  close(): void {
    this.#agent.destroy();
  }

  /**
   * Forwards a request unless this VM is a home VM of its event. Returns true
   * when nothing is left to do here: the home VM answers the caller, or the
   * caller disconnected.
   */
  async forward(input: ForwardInput): Promise<boolean> {
    const { event } = input.accepted;
    const { vm } = this.#context.settings;
    const homes = this.#ports.listHomes(event);
    const [home] = homes;
    if (home === undefined || homes.includes(vm)) return false;
    const address = this.#ports.findCallerAddress(home);
    return address === undefined ? false : await this.#send(input, address);
  }

  /**
   * Returns the headers to forward. They include the request key, so that a run
   * on this VM and one on the home VM count as the same request.
   */
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
    const { settings, log, clock } = this.#context;
    const abortController = new AbortController();
    // After a complete answer there is nothing left to cancel.
    response.on("close", () => {
      if (!response.writableFinished) abortController.abort();
    });
    const giveUpAt = accepted.deadline + REFUSAL_MARGIN;
    const timer = setTimeout(
      () => abortController.abort(),
      giveUpAt - clock.readMonotonic(),
    );
    const scheme = settings.callers.tls === undefined ? "http" : "https";
    const started = await startExchange({
      method: "POST",
      url: `${scheme}://${address}${request.url}`,
      headers: this.#createHeaders(request, accepted),
      body: accepted.receivedBody,
      idleTimeout: 0,
      connectTimeout: CONNECT_TIMEOUT,
      agent: this.#agent,
      signal: abortController.signal,
    });
    clearTimeout(timer);
    if (started.isLeft()) {
      const failure = started.swap().unsafeCoerce();
      log.warn(LogEvent.ForwardFailed, { address, reason: failure.detail });
      // The home VM may have run the request. Request keys and claims make
      // running it here as safe as a retry.
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
