/** Tests of answers to one caller, over a socket. */
import { getEventListeners } from "node:events";
import { createServer, get } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { RefusalKind } from "../../core/mod.ts";
import { createRefusal } from "../../runtime/mod.ts";
import { CallerConnections } from "./caller_connections.ts";
import { CallerExchange } from "./caller_exchange.ts";
import { computeMachineLimits } from "./machine_limits.ts";

const CONNECTIONS = new CallerConnections({
  readTime: () => performance.now(),
  machine: computeMachineLimits(undefined),
  recordClosed: () => {},
  recordHeld: () => {},
});

const INVALID_ANSWERS = {
  "status": { status: 0, headers: [] },
  "header": { status: 200, headers: ["cache control", "no-store"] },
};

// Guards against a caller that is never answered after its answer was rejected.
for (const [what, answer] of Object.entries(INVALID_ANSWERS)) {
  test(`a refusal can be sent in place of an answer with an invalid ${what}`, async (t) => {
    const server = createServer((incoming, outgoing) => {
      const exchange = new CallerExchange(
        incoming,
        outgoing,
        CONNECTIONS.find(incoming.socket),
      );
      t.throws(() =>
        exchange.sendComplete({ ...answer, body: Buffer.from("ok") })
      );
      exchange.refuse(createRefusal(RefusalKind.Internal), {
        dialect: { formatOwnAnswer: () => [] },
      });
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const status = await new Promise((resolve) => {
      const request = get({ port, agent: false, timeout: 2_000 }, (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve("no answer"));
    });
    t.is(status, 500);
    server.closeAllConnections();
    server.close();
  });
}

// Guards against memory that grows with each event of a stream to a slow caller.
test("waiting for a caller again and again leaves no listeners behind", async (t) => {
  const server = createServer();
  const counted = new Promise<number>((resolve) => {
    server.on("request", async (incoming, outgoing) => {
      const exchange = new CallerExchange(
        incoming,
        outgoing,
        CONNECTIONS.find(incoming.socket),
      );
      exchange.sendHead(200, []);
      for (let round = 0; round < 5; round++) {
        if (!exchange.write(Buffer.alloc(1_048_576))) {
          await exchange.waitDrain();
        }
      }
      resolve(getEventListeners(exchange.disconnectSignal, "abort").length);
      exchange.end();
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  get({ port, agent: false }, (answer) => answer.resume());
  t.is(await counted, 0);
  server.close();
});
