/** Tests of the load generator, the baseline proxy and the byte counter. */
import test from "ava";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { startByteCounter } from "./byte_counter.ts";
import { createMinimalTarget } from "./minimal_target.ts";
import { runClosedLoop, runOpenLoop, startStreams } from "./load_generator.ts";
import { createPassThrough } from "./pass_through.ts";
import { CALL_BODY, createStreamBody } from "./paths.ts";

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function countConnections(server: Server): Promise<number> {
  return new Promise((resolve) =>
    server.getConnections((_, count) => resolve(count))
  );
}

async function startPair() {
  const target = createMinimalTarget();
  const passThrough = createPassThrough(await listen(target));
  return {
    url: await listen(passThrough),
    target,
    stop: () => {
      for (const server of [passThrough, target]) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

test("every chunk of every stream is counted and its latency recorded", async (t) => {
  const pair = await startPair();
  const load = {
    url: pair.url,
    headers: {},
    createBody: () => createStreamBody(30, 0),
  };
  const result = await runOpenLoop(load, { perSecond: 100, millis: 200 });
  pair.stop();
  t.is(result.requests, 20);
  t.is(result.failures, 0);
  t.is(result.chunks, 600);
  t.is(result.chunkLatency.readSummary().count, 600);
});

test("a call whose connection fails counts as a failure", async (t) => {
  const pair = await startPair();
  pair.target.closeAllConnections();
  pair.target.close();
  const load = { url: pair.url, headers: {}, createBody: () => CALL_BODY };
  const result = await runClosedLoop(load, { connections: 2, millis: 20 });
  pair.stop();
  t.true(result.requests > 0);
  t.is(result.failures, result.requests);
  t.truthy(result.firstFailure);
});

test("streams stay open until closed, and closing them disconnects from the target", async (t) => {
  const pair = await startPair();
  const load = {
    url: pair.url,
    headers: {},
    createBody: () => createStreamBody(100_000, 10),
  };
  const open = await startStreams(load, 5);
  t.is(open.opened, 5);
  t.is(open.failures, 0);
  await open.close();
  // Polls until the target has no connections left; otherwise times out.
  while (await countConnections(pair.target) > 0) await wait(5);
  pair.stop();
  t.pass();
});

test("a byte counter counts both directions", async (t) => {
  const target = createMinimalTarget();
  const { port } = new URL(await listen(target));
  const counter = await startByteCounter(Number(port));
  const response = await fetch(`http://${counter.address}/`, {
    method: "POST",
    body: CALL_BODY,
  });
  const answer = await response.text();
  t.true(counter.readBytes() > CALL_BODY.length + answer.length);
  await counter.stop();
  target.closeAllConnections();
  target.close();
});
