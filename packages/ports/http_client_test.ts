/** Tests of the HTTP client: connection resets, timeouts and raw paths. */
import { Agent } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { DarkAddress } from "../stand_ins/mod.ts";
import { type HttpFailure, sendRequest } from "./mod.ts";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

/** Starts a server that sends a part of an answer and then calls `end`. */
async function startRawServer(end: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(`${HEAD}a part`);
      setTimeout(() => end(socket), 0);
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}/`, close: () => server.close() };
}

async function countCompleteAnswers(
  end: (socket: Socket) => void,
): Promise<number> {
  const server = await startRawServer(end);
  let complete = 0;
  for (let number = 0; number < 60; number++) {
    const agent = new Agent({ keepAlive: true });
    const { url } = server;
    const answer = await sendRequest({
      method: "GET",
      url,
      idleTimeout: 0,
      connectTimeout: 1_000,
      agent,
    });
    if (answer.isRight()) complete++;
  }
  server.close();
  return complete;
}

test("an answer without a length whose connection is reset is never complete", async (t) => {
  t.is(
    await countCompleteAnswers((socket) => void socket.resetAndDestroy()),
    0,
  );
});

test("an answer without a length whose connection the server closes is complete", async (t) => {
  t.is(await countCompleteAnswers((socket) => void socket.end()), 60);
});

test("the answer timeout ends a request that the server never answers", async (t) => {
  const server = createServer(() => {});
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const answer = await sendRequest({
    method: "GET",
    url: `http://127.0.0.1:${port}/`,
    idleTimeout: 0,
    connectTimeout: 1_000,
    answerTimeout: 50,
  });
  t.true((answer.extract() as HttpFailure).sent);
  server.close();
});

test("a path is sent without normalization", async (t) => {
  const paths: string[] = [];
  const server = createServer((socket) =>
    socket.once("data", (data) => {
      paths.push(data.toString().split(" ")[1]!);
      socket.end(`${HEAD}`);
    })
  );
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  await sendRequest({
    method: "GET",
    url: `http://127.0.0.1:${port}`,
    path: "/a/../b//c?d=%2e",
    headers: ["host", "x"],
    idleTimeout: 0,
    connectTimeout: 1_000,
  });
  t.deepEqual(paths, ["/a/../b//c?d=%2e"]);
  server.close();
});

test("a failed call tells how much of its answer has arrived", async (t) => {
  const server = await startRawServer(() => {});
  const answer = await sendRequest({
    method: "GET",
    url: server.url,
    idleTimeout: 0,
    connectTimeout: 1_000,
    answerTimeout: 50,
  });
  t.is((answer.extract() as HttpFailure).receivedBytes, "a part".length);
  server.close();
});

test("an answer that keeps arriving is not cut off, and one that stops is", async (t) => {
  for (const pieces of [8, 4]) {
    const server = await startRawServer((socket) => {
      let sent = 0;
      const timer = setInterval(() => {
        if (++sent <= pieces) socket.write("x");
        else if (pieces === 8) socket.end();
        else clearInterval(timer);
      }, 40);
      socket.once("close", () => clearInterval(timer));
    });
    const answer = await sendRequest({
      method: "GET",
      url: server.url,
      idleTimeout: 0,
      connectTimeout: 1_000,
      answerTimeout: 150,
      progressTimeout: 150,
    });
    t.is(answer.isRight(), pieces === 8);
    answer.ifLeft((failure) => {
      t.true(failure.timedOut);
      t.is(failure.receivedBytes, "a part".length + pieces);
    });
    server.close();
  }
});

// Guards against promises that reject where a failure is expected.
test("a request that can't be sent fails without being sent", async (t) => {
  for (
    const input of [
      { url: "http://127.0.0.1:99999/" },
      { url: "http://127.0.0.1:1/", path: "/a b" },
      { url: "http://127.0.0.1:1/", headers: { "a b": "1" } },
    ]
  ) {
    const answer = await sendRequest({
      method: "GET",
      idleTimeout: 0,
      connectTimeout: 1_000,
      ...input,
    });
    t.false((answer.swap().unsafeCoerce() as HttpFailure).sent);
  }
});

/** How a request without an answer ended, or "open" if it has not. */
async function readEnd(
  request: ReturnType<typeof sendRequest>,
): Promise<string> {
  const answer = await Promise.race([request, sleep(3_000)]);
  return answer?.swap().map(({ sent, detail }) => `${sent} ${detail}`)
    .orDefault("answered") ?? "open";
}

// Guards against requests to a machine without power that last until TCP gives
// up, also those that wait for one of the agent's connections.
test("a request to an address that is silent fails when its time to connect is over", async (t) => {
  const dark = await DarkAddress.start();
  const agent = new Agent({ keepAlive: true, maxSockets: 2 });
  const requests = Array.from({ length: 5 }, () =>
    sendRequest({
      method: "GET",
      url: `http://${dark.address}/`,
      idleTimeout: 100,
      connectTimeout: 100,
      queueTimeout: 350,
      agent,
    }));
  const ends = await Promise.all(requests.map(readEnd));
  t.deepEqual(ends, Array(5).fill("false could not connect within 100 ms"));
  agent.destroy();
  await dark.close();
});

// Guards against requests that stay open although nobody waits for them: Node
// reports nothing before the agent has a connection for them.
test("a request that waits for one of the agent's connections ends when its time is over, and when it is cancelled", async (t) => {
  const server = createServer(() => {});
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const send = (queueTimeout: number, signal?: AbortSignal) =>
    sendRequest({
      method: "GET",
      url: `http://127.0.0.1:${port}/`,
      idleTimeout: 0,
      connectTimeout: 100,
      queueTimeout,
      agent,
      ...(signal === undefined ? {} : { signal }),
    });
  const first = send(100);
  const controller = new AbortController();
  const waiting = send(100);
  const cancelled = send(60_000, controller.signal);
  controller.abort();
  t.is(await readEnd(waiting), "false could not connect within 100 ms");
  t.is(await readEnd(cancelled), "false cancelled");
  agent.destroy();
  t.regex(await readEnd(first), /^true /);
  server.close();
});
