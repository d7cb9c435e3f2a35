/** HTTP client that calls the entry VMs of a trial fleet. */
import { request as startRequest } from "node:http";
import { CUSTOMER_KEY } from "./fleet.ts";
import { EVENT_ID } from "./trial_document.ts";

/** One call to an entry VM. */
export interface TrialCall {
  readonly address: string;
  /** Kind of the request; it also determines the path. */
  readonly kind: string;
  /** Sent as it is if it is a string, and as JSON otherwise. */
  readonly body: unknown;
  /** Value of the `idempotency-key` header; not sent if absent. */
  readonly requestKey?: string;
  /** Event that is charged; the trial event if absent. */
  readonly event?: string;
  /** Key that authenticates the call; that of the first customer if absent. */
  readonly customerKey?: string;
  /** Name of the customer, sent in addition to the key; not sent if absent. */
  readonly customer?: string;
  readonly deadlineMillis?: number;
  /** Closes the connection once the answer's body contains this text. */
  readonly hangUpAfter?: string;
}

/** An answer as the caller received it. */
export interface TrialAnswer {
  /** HTTP status; 0 if the answer's head did not arrive. */
  readonly status: number;
  /** Outcome from the trailer or header; `none` if it has neither. */
  readonly outcome: string;
  /** Reason of a refusal; empty if the answer names none. */
  readonly reason: string;
  readonly retryAfter: string | undefined;
  readonly text: string;
  /** Whether the answer arrived completely, before the connection closed. */
  readonly isComplete: boolean;
}

/** Kinds of requests to plain services; all others go to model engines. */
const SERVICE_KINDS = ["booking", "lookup"];

/** Calls an entry VM and reads the complete answer; never rejects. */
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
    outgoing.on("error", () => resolve(createInterruptedAnswer(0, parts)));
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
      incoming.on(
        "error",
        () => resolve(createInterruptedAnswer(status, parts)),
      );
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

/** Returns the generated text in the server-sent events of a chat stream. */
export function readStreamText(text: string): string {
  return text.split("\n\n")
    .map((event) => event.replace(/^data: /, ""))
    .filter((data) => data.startsWith("{"))
    .map((data) => JSON.parse(data))
    .map((chunk) => chunk.choices?.[0]?.delta?.content ?? "")
    .join("");
}

/** Returns the body of a streaming chat request with one message. */
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

/** Creates the answer of a call whose connection failed before its end. */
function createInterruptedAnswer(
  status: number,
  parts: readonly Buffer[],
): TrialAnswer {
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
