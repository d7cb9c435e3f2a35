/** Tests of the connection probe, over sockets. */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { checkConnection, ConnectionProbe } from "./mod.ts";

test("a connection is accepted while a server listens and refused afterwards", async (t) => {
  const server = createServer((socket) => socket.on("error", () => {}));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const address = { host: "127.0.0.1", port, timeout: 1_000 };
  t.is(await checkConnection(address), ConnectionProbe.Accepted);
  await new Promise((done) => server.close(done));
  t.is(await checkConnection(address), ConnectionProbe.Refused);
});
