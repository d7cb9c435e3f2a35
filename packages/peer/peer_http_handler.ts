/**
 * Serves a tRPC router over Node's `http`: one procedure call in each request,
 * in the format of tRPC's `httpLink`.
 *
 * tRPC's own adapter converts each request and answer to the web's `Request`,
 * `Response` and streams. That took half of the processor time of a call between
 * VMs, of which a VM with borrowed tokens makes more than it serves requests.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type AnyTRPCRouter,
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  transformTRPCResponse,
  TRPCError,
} from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import readRawBody from "raw-body";
import type { Bytes } from "../core/mod.ts";

/** Options of {@link createRouterHandler}. */
export interface RouterHandlerOptions<Context> {
  readonly router: AnyTRPCRouter;
  readonly maxBodyBytes: Bytes;
  createContext(request: IncomingMessage): Context;
}

/** Creates a handler of requests; errors are answered in tRPC's format. */
export function createRouterHandler<Context>(
  options: RouterHandlerOptions<Context>,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => void serveCall(request, response, options);
}

async function serveCall<Context>(
  request: IncomingMessage,
  response: ServerResponse,
  options: RouterHandlerOptions<Context>,
): Promise<void> {
  const { router } = options;
  const ctx = options.createContext(request);
  const [route = "", query = ""] = (request.url ?? "").split("?", 2);
  const path = route.slice(1);
  const type = request.method === "POST" ? "mutation" : "query";
  const disconnection = new AbortController();
  response.once("close", () => disconnection.abort());
  let status = 200;
  let answer: unknown;
  try {
    const data = await callTRPCProcedure({
      router,
      path,
      type,
      ctx,
      signal: disconnection.signal,
      batchIndex: 0,
      getRawInput: async () =>
        parseInput(
          type === "mutation"
            ? await readBody(request, options.maxBodyBytes)
            : new URLSearchParams(query).get("input"),
        ),
    });
    answer = { result: { data } };
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    status = getHTTPStatusCodeFromError(error);
    answer = {
      error: getTRPCErrorShape({
        config: router._def._config,
        error,
        type,
        path,
        input: undefined,
        ctx,
      }),
    };
  }
  sendAnswer(response, {
    status,
    text: JSON.stringify(
      transformTRPCResponse(
        router._def._config,
        answer as Parameters<typeof transformTRPCResponse>[1],
      ),
    ),
  });
  // What is left of a body that wasn't read would be taken for a request.
  if (!request.complete) response.once("finish", () => request.destroy());
}

function sendAnswer(
  response: ServerResponse,
  answer: { readonly status: number; readonly text: string },
): void {
  if (response.destroyed) return;
  response.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(answer.text),
  });
  response.end(answer.text);
}

async function readBody(
  request: IncomingMessage,
  limit: Bytes,
): Promise<string> {
  try {
    return await readRawBody(request, { limit, encoding: "utf8" });
  } catch (cause) {
    const isTooLarge = (cause as { type?: unknown }).type ===
      "entity.too.large";
    throw new TRPCError({
      code: isTooLarge ? "PAYLOAD_TOO_LARGE" : "BAD_REQUEST",
      cause,
    });
  }
}

function parseInput(text: string | null): unknown {
  if (text === null || text === "") return undefined;
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new TRPCError({ code: "PARSE_ERROR", cause });
  }
}
