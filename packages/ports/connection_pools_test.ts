/** Tests of connection pools, over sockets. */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createSystemClock } from "../core/mod.ts";
import { ConnectionPools, sendRequest } from "./mod.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

async function listen(server: Server): Promise<string> {
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function sendOnce(pools: ConnectionPools, url: string) {
  const agent = pools.getAgent("t1");
  return sendRequest({
    method: "GET",
    url,
    idleTimeout: 1_000,
    connectTimeout: 1_000,
    agent,
  });
}

test("an idle connection on which bytes arrive is closed and not reused", async (t) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", () => socket.write(ANSWER));
  });
  const url = await listen(server);
  const pools = new ConnectionPools(createSystemClock());
  t.true((await sendOnce(pools, url)).isRight());
  const closed = new Promise((done) => sockets[0]!.on("close", done));
  await new Promise((done) => setTimeout(done, 20));
  sockets[0]!.write("bytes of no answer");
  await closed;
  t.true((await sendOnce(pools, url)).isRight());
  t.is(sockets.length, 2);
  pools.dropAll();
  server.close();
});

test("an idle connection is reused", async (t) => {
  let connections = 0;
  const server = createServer((socket) => {
    connections++;
    socket.on("data", () => socket.write(ANSWER));
  });
  const url = await listen(server);
  const pools = new ConnectionPools(createSystemClock());
  for (let number = 0; number < 3; number++) {
    t.true((await sendOnce(pools, url)).isRight());
    await new Promise((done) => setTimeout(done, 5));
  }
  t.is(connections, 1);
  pools.dropAll();
  server.close();
});
