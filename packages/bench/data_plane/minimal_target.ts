/**
 * A target that does as little work as possible. It streams generated chunks
 * that contain the time of their sending, or answers a small call at once.
 *
 * A request selects a stream by the text `chunks=N pause=MS` in its prompt,
 * since an entry VM in between supports no query.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as wait } from "node:timers/promises";

const STREAM_PARAMETERS = /chunks=(\d+) pause=(\d+)/;

const CALL_ANSWER = JSON.stringify({ confirmation: "c-1", bytes: 0 });

const LOAD_ANSWER = JSON.stringify({
  running: 0,
  queued: 0,
  leaving: false,
  models: [],
});

/** Creates the target's server. The caller has to call `listen`. */
export function createMinimalTarget(): Server {
  return createServer((request, response) => {
    if (request.method === "GET") return sendText(response, LOAD_ANSWER);
    void readText(request).then((text) => sendAnswer(response, text));
  });
}

async function sendAnswer(
  response: ServerResponse,
  text: string,
): Promise<void> {
  const parameters = STREAM_PARAMETERS.exec(text);
  if (parameters === null) return sendText(response, CALL_ANSWER);
  response.writeHead(200, { "content-type": "text/event-stream" });
  const chunks = Number(parameters[1]);
  const pause = Number(parameters[2]);
  for (let index = 0; index < chunks && !response.destroyed; index++) {
    const hasCapacity = response.write(createChunk());
    if (!hasCapacity) await waitForDrain(response);
    if (pause > 0) await wait(pause);
    else await yieldToEventLoop();
  }
  response.write(createLastChunk(chunks));
  response.end("data: [DONE]\n\n");
}

/**
 * Returns a chunk of an engine's stream with the current time in microseconds.
 */
function createChunk(): string {
  const micros = process.hrtime.bigint() / 1_000n;
  return `data: {"id":"c","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":" t${micros}t"},"finish_reason":null}]}\n\n`;
}

function createLastChunk(chunks: number): string {
  return `data: {"id":"c","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":20,"completion_tokens":${chunks},"total_tokens":${
    chunks + 20
  }}}\n\n`;
}

function sendText(response: ServerResponse, text: string): void {
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function readText(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString("utf8");
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}

function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
