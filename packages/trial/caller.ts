/** A caller of a trial fleet, over Node's http. */
import { request as startRequest } from "node:http";
import { CUSTOMER_KEY } from "./fleet.ts";
import { EVENT_ID } from "./trial_document.ts";

/** One call of an entry VM. */
export interface TrialCall {
  readonly address: string;
  readonly kind: string;
  readonly body: unknown;
  readonly requestKey?: string;
  readonly event?: string;
  readonly customerKey?: string;
  /** Name of the customer, sent beside its key. */
  readonly customer?: string;
  readonly deadlineMillis?: number;
  /** Hangs up when this text has arrived. */
  readonly hangUpAfter?: string;
}

/** What the caller saw. */
export interface TrialAnswer {
  /** 0 when no answer began. */
  readonly status: number;
  readonly outcome: string;
  /** Kind of a refusal. */
  readonly reason: string;
  readonly retryAfter: string | undefined;
  readonly text: string;
  /** False when the connection broke before the answer's end. */
  readonly isComplete: boolean;
}

const SERVICE_KINDS = ["booking", "lookup"];

/** Calls an entry VM and reads the whole answer; never rejects. */
export function callEntry(call: TrialCall): Promise<TrialAnswer> {
  const path = SERVICE_KINDS.includes(call.kind)
    ? "/v1/calls"
    : "/v1/chat/completions";
  const parts: Buffer[] = [];
  return new Promise((resolve) => {
    const outgoing = startRequest(`http://${call.address}${path}`, {
      method: "POST",
      agent: false,
      headers: createHeaders(call),
    });
    outgoing.on("error", () => resolve(createBroken(0, parts)));
    outgoing.on("response", (incoming) => {
      const status = incoming.statusCode ?? 0;
      incoming.on("data", (part: Buffer) => {
        parts.push(part);
        const { hangUpAfter } = call;
        if (
          hangUpAfter !== undefined && readText(parts).includes(hangUpAfter)
        ) {
          outgoing.destroy();
        }
      });
      incoming.on("error", () => resolve(createBroken(status, parts)));
      incoming.on("end", () => {
        const { headers, trailers } = incoming;
        const name = "x-anvilrail-outcome";
        resolve({
          status,
          outcome: String(trailers[name] ?? headers[name] ?? "none"),
          reason: String(headers["x-anvilrail-reason"] ?? ""),
          retryAfter: headers["retry-after"],
          text: readText(parts),
          isComplete: true,
        });
      });
    });
    outgoing.end(
      typeof call.body === "string" ? call.body : JSON.stringify(call.body),
    );
  });
}

/** Returns the answer text that a stream of server-sent events carries. */
export function readStreamText(text: string): string {
  return text.split("\n\n")
    .map((event) => event.replace(/^data: /, ""))
    .filter((data) => data.startsWith("{"))
    .map((data) => JSON.parse(data))
    .map((chunk) => chunk.choices?.[0]?.delta?.content ?? "")
    .join("");
}

/** Returns the body of a streamed chat. */
export function createChatBody(text: string): {
  readonly model: string;
  readonly stream: boolean;
  readonly messages: readonly { role: string; content: string }[];
} {
  return {
    model: "stand-in",
    stream: true,
    messages: [{ role: "user", content: text }],
  };
}

function createHeaders(call: TrialCall): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${call.customerKey ?? CUSTOMER_KEY}`,
    "content-type": "application/json",
    "x-anvilrail-event": call.event ?? EVENT_ID,
    "x-anvilrail-kind": call.kind,
  };
  if (call.requestKey !== undefined) {
    headers["idempotency-key"] = call.requestKey;
  }
  if (call.customer !== undefined) {
    headers["x-anvilrail-customer"] = call.customer;
  }
  if (call.deadlineMillis !== undefined) {
    headers["x-anvilrail-deadline-ms"] = String(call.deadlineMillis);
  }
  return headers;
}

function createBroken(status: number, parts: readonly Buffer[]): TrialAnswer {
  return {
    status,
    outcome: "none",
    reason: "",
    retryAfter: undefined,
    text: readText(parts),
    isComplete: false,
  };
}

function readText(parts: readonly Buffer[]): string {
  return Buffer.concat(parts).toString("utf8");
}
