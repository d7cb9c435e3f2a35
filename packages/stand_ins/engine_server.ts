/**
 * Stand-in of a model engine. It serves the OpenAI chat completions protocol
 * with server-sent events, a load report and orders. A stream can be cancelled
 * by its id or by closing the connection, and resumed from a position. The text
 * of an answer depends only on the messages of the request, so that any replica
 * can continue a stream that another one has begun.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { Millis } from "../core/mod.ts";
import {
  readBytes,
  type RunningServer,
  sendJson,
  startServer,
} from "./http_server.ts";

const CHAT_SCHEMA = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
});

const ORDER_SCHEMA = z.object({ type: z.string(), name: z.string() });

type ChatBody = z.infer<typeof CHAT_SCHEMA>;

/** Options of an engine; absent ones have defaults. */
export interface EngineOptions {
  /** Port on the loopback interface; the kernel chooses one if absent. */
  readonly port?: number;
  readonly name?: string;
  /** Delay before the first token of an answer. */
  readonly firstTokenDelay?: Millis;
  /** Delay between tokens. */
  readonly tokenDelay?: Millis;
  /** Maximum length of an answer in tokens, also if the request allows more. */
  readonly answerTokens?: number;
  /** Number of requests that run at once; others are queued. */
  readonly slots?: number;
  /** Models that are loaded at the start. */
  readonly models?: readonly string[];
  /** A poison request: one whose body has this text crashes the engine. */
  readonly crashesOn?: string;
  /** Whether orders with an outdated fencing number are refused. */
  readonly checksFencing?: boolean;
}

/** Faults that a test can inject, and what the engine has recorded. */
export interface EngineControls {
  /**
   * Closes the connections of all open chat requests and, until recovery, of
   * all new requests.
   */
  crash(): void;
  /** Ends the effect of a crash. */
  recover(): void;
  /**
   * While frozen, the engine sends nothing on its streams and doesn't answer
   * chat requests, but keeps their connections open.
   */
  freeze(frozen: boolean): void;
  /**
   * Closes the connection of the next stream that reaches this many chunks,
   * once; undefined switches this off.
   */
  breakAfter(chunks: number | undefined): void;
  /** Reports from now on that the engine is leaving the fleet. */
  leave(): void;
  readCounts(): EngineCounts;
  /** Returns the orders that were executed, oldest first. */
  readOrders(): readonly EngineOrderRecord[];
}

/** An order that an engine has executed. */
export interface EngineOrderRecord {
  readonly type: string;
  readonly name: string;
  /** Fencing number of the order. */
  readonly fence: number;
}

/** Counts since the engine's start. */
export interface EngineCounts {
  readonly requests: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly tokens: number;
}

/** A running engine with its controls. */
export type EngineServer = RunningServer & EngineControls;

const WORDS = [
  "the",
  "bus",
  "meets",
  "you",
  "at",
  "gate",
  "four",
  "and",
  "waits",
];

/** Returns the token at a position of the answer to messages with a digest. */
export function computeAnswerToken(digest: string, position: number): string {
  const hash = createHash("sha256").update(`${digest}/${position}`).digest();
  return ` ${WORDS[hash.readUInt32BE(0) % WORDS.length]}`;
}

interface StreamUsage {
  promptTokens: number;
  outputTokens: number;
  cancelled: boolean;
}

/** Maximum number of streams whose usage is kept; the oldest is dropped. */
const MAX_STREAMS = 10_000;

/** State of an engine and the handlers of its requests. */
class Engine {
  readonly #options: Required<Omit<EngineOptions, "port" | "crashesOn">>;
  readonly #crashesOn: string | undefined;
  readonly #openResponses = new Set<ServerResponse>();
  readonly #waitingRequests: (() => void)[] = [];
  /** Usage so far of each stream with an id; cancelled ones generate no more. */
  readonly #streams = new Map<string, StreamUsage>();
  readonly #models: Set<string>;
  readonly #orders: EngineOrderRecord[] = [];
  #highestFence = 0;
  #running = 0;
  #crashed = false;
  #frozen = false;
  #leaving = false;
  #breakAfter: number | undefined;
  #counts = { requests: 0, completed: 0, cancelled: 0, tokens: 0 };

  constructor(options: EngineOptions) {
    this.#options = {
      name: options.name ?? "engine",
      firstTokenDelay: options.firstTokenDelay ?? 5,
      tokenDelay: options.tokenDelay ?? 1,
      answerTokens: options.answerTokens ?? 20,
      slots: options.slots ?? 32,
      models: options.models ?? ["stand-in"],
      checksFencing: options.checksFencing ?? false,
    };
    this.#crashesOn = options.crashesOn;
    this.#models = new Set(this.#options.models);
  }

  createControls(): EngineControls {
    return {
      crash: () => this.#crash(),
      recover: () => void (this.#crashed = false),
      freeze: (frozen) => void (this.#frozen = frozen),
      breakAfter: (chunks) => void (this.#breakAfter = chunks),
      leave: () => void (this.#leaving = true),
      readCounts: () => ({ ...this.#counts }),
      readOrders: () => [...this.#orders],
    };
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#crashed) return void response.destroy();
    if (request.url === "/load") return this.#reportLoad(response);
    const bytes = await readBytes(request);
    const cancel = /^\/v1\/streams\/([^/]+)\/cancel$/.exec(request.url ?? "");
    if (cancel !== null) return this.#cancelStream(cancel[1] ?? "", response);
    if (request.url === "/v1/orders") {
      const fence = Number(request.headers["x-fencing-number"] ?? 0);
      return this.#executeOrder(JSON.parse(bytes.toString("utf8")), {
        fence,
        response,
      });
    }
    if (this.#frozen) return;
    const body = CHAT_SCHEMA.parse(JSON.parse(bytes.toString("utf8")));
    this.#counts.requests++;
    this.#openResponses.add(response);
    const trigger = this.#crashesOn;
    if (trigger !== undefined && bytes.includes(trigger)) return this.#crash();
    await this.#acquireSlot();
    try {
      await this.#answer({ request, response, bytes, body });
    } finally {
      this.#openResponses.delete(response);
      this.#releaseSlot();
    }
  }

  #crash(): void {
    this.#crashed = true;
    for (const response of this.#openResponses) response.destroy();
  }

  #cancelStream(id: string, response: ServerResponse): void {
    const stream = this.#streams.get(decodeURIComponent(id));
    if (stream === undefined) return sendJson(response, 404, {});
    stream.cancelled = true;
    sendJson(response, 200, {
      usage: {
        prompt_tokens: stream.promptTokens,
        completion_tokens: stream.outputTokens,
      },
    });
  }

  #executeOrder(
    body: unknown,
    input: { readonly fence: number; readonly response: ServerResponse },
  ): void {
    const { fence, response } = input;
    const { type, name } = ORDER_SCHEMA.parse(body);
    if (this.#options.checksFencing && fence < this.#highestFence) {
      return sendJson(response, 409, { error: "old fencing number" });
    }
    this.#highestFence = Math.max(this.#highestFence, fence);
    this.#orders.push({ type, name, fence });
    if (type === "load-model") this.#models.add(name);
    if (type === "unload-model") this.#models.delete(name);
    sendJson(response, 200, {});
  }

  #registerStream(id: string, promptTokens: number): StreamUsage {
    const stream = { promptTokens, outputTokens: 0, cancelled: false };
    if (id !== "") this.#streams.set(id, stream);
    if (this.#streams.size > MAX_STREAMS) {
      for (const oldest of this.#streams.keys()) {
        this.#streams.delete(oldest);
        break;
      }
    }
    return stream;
  }

  #reportLoad(response: ServerResponse): void {
    sendJson(response, 200, {
      running: this.#running,
      queued: this.#waitingRequests.length,
      leaving: this.#leaving,
      models: [...this.#models],
    });
  }

  async #answer(input: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly bytes: Buffer;
    readonly body: ChatBody;
  }): Promise<void> {
    const { request, response, body } = input;
    // Only the messages determine the answer, so only they are hashed.
    const digest = createHash("sha256").update(JSON.stringify(body.messages))
      .digest("hex");
    const requestedTokens = body.max_tokens ?? body.max_completion_tokens ??
      Infinity;
    const length = Math.min(requestedTokens, this.#options.answerTokens);
    const promptTokens = Math.ceil(JSON.stringify(body.messages).length / 4);
    const resumePosition = Number(request.headers["x-resume-position"] ?? 0);
    const id = String(request.headers["x-stream-id"] ?? "");
    const stream = this.#registerStream(id, promptTokens);
    response.writeHead(200, { "content-type": "text/event-stream" });
    await pause(this.#options.firstTokenDelay);
    for (let position = resumePosition; position < length; position++) {
      if (!(await this.#sendToken({ response, position, digest, stream }))) {
        return;
      }
      await pause(this.#options.tokenDelay);
    }
    this.#sendEnd(response, { id: digest.slice(0, 12), length, promptTokens });
  }

  async #sendToken(input: {
    readonly response: ServerResponse;
    readonly position: number;
    readonly digest: string;
    readonly stream: StreamUsage;
  }): Promise<boolean> {
    const { response, position, digest, stream } = input;
    while (this.#frozen && !response.destroyed) await pause(10);
    if (response.destroyed || stream.cancelled) {
      this.#counts.cancelled++;
      return false;
    }
    if (this.#breakAfter !== undefined && position >= this.#breakAfter) {
      this.#breakAfter = undefined;
      response.destroy();
      return false;
    }
    this.#counts.tokens++;
    stream.outputTokens++;
    const chunk = {
      id: `chatcmpl-${digest.slice(0, 12)}`,
      object: "chat.completion.chunk",
      created: 0,
      model: "stand-in",
      choices: [{
        index: 0,
        delta: { content: computeAnswerToken(digest, position) },
        finish_reason: null,
      }],
    };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    return true;
  }

  #sendEnd(
    response: ServerResponse,
    end: { id: string; length: number; promptTokens: number },
  ): void {
    this.#counts.completed++;
    const common = {
      id: `chatcmpl-${end.id}`,
      object: "chat.completion.chunk",
      created: 0,
      model: "stand-in",
    };
    const finalChunk = {
      ...common,
      choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
      usage: {
        prompt_tokens: end.promptTokens,
        completion_tokens: end.length,
        total_tokens: end.promptTokens + end.length,
      },
    };
    response.write(`data: ${JSON.stringify(finalChunk)}\n\n`);
    response.end("data: [DONE]\n\n");
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= this.#options.slots) {
      await new Promise<void>((resolve) => this.#waitingRequests.push(resolve));
    }
    this.#running++;
  }

  #releaseSlot(): void {
    this.#running--;
    this.#waitingRequests.shift()?.();
  }
}

function pause(duration: Millis): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}

/** Starts an engine. */
export async function startEngineServer(
  options: EngineOptions = {},
): Promise<EngineServer> {
  const engine = new Engine(options);
  const server = await startServer(
    (request, response) => engine.handle(request, response),
    options.port,
  );
  return { ...server, ...engine.createControls() };
}
