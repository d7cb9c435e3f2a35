/** A caller for the demo, over Node's http. */
import { request as startRequest } from "node:http";
import { CUSTOMER_KEY } from "./demo_fleet.ts";

/** One call of an entry VM. */
export interface DemoCall {
  readonly address: string;
  readonly kind: string;
  readonly requestKey: string;
  readonly body: unknown;
}

/** What the caller saw. */
export interface DemoAnswer {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

/** Calls an entry VM and reads the whole answer. */
export function callEntry(call: DemoCall): Promise<DemoAnswer> {
  const path = call.kind === "booking" ? "/v1/calls" : "/v1/chat/completions";
  return new Promise((resolve, reject) => {
    const outgoing = startRequest(`http://${call.address}${path}`, {
      method: "POST",
      agent: false,
      headers: {
        authorization: `Bearer ${CUSTOMER_KEY}`,
        "content-type": "application/json",
        "x-anvilrail-event": "tour-arrival",
        "x-anvilrail-kind": call.kind,
        "idempotency-key": call.requestKey,
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (incoming) => {
      const parts: Buffer[] = [];
      incoming.on("data", (part: Buffer) => parts.push(part));
      incoming.on("error", reject);
      incoming.on("end", () => {
        const text = Buffer.concat(parts).toString("utf8");
        resolve({
          status: incoming.statusCode ?? 0,
          outcome: readOutcome(incoming.headers, incoming.trailers),
          text,
        });
      });
    });
    outgoing.end(JSON.stringify(call.body));
  });
}

function readOutcome(
  headers: NodeJS.Dict<string | string[]>,
  trailers: NodeJS.Dict<string>,
): string {
  const name = "x-anvilrail-outcome";
  return String(trailers[name] ?? headers[name] ?? "none");
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
