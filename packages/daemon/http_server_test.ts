/** Tests of the daemon's HTTP servers over sockets. */
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import type { Settings } from "../settings/mod.ts";
import { startServer } from "./http_server.ts";

/** More than the sockets of both sides hold. */
const ANSWER_BYTES = 8 * 1_048_576;

// Guards against answers that a stop cuts because they were only handed over.
test("a server that is closed sends its answers to callers that read slowly", async (t) => {
  const limits = { maxHeaderBytes: 16_384, maxConnections: 10 };
  const server = await startServer({ host: "127.0.0.1", port: 0 }, {
    limits: limits as Settings["limits"],
    handler: (_, response) => response.end(Buffer.alloc(ANSWER_BYTES)),
  });
  const socket = connect(Number(server.address.split(":")[1]), "127.0.0.1");
  socket.pause();
  socket.on("error", () => {});
  socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  await sleep(300);
  const closed = server.close();
  await sleep(300);
  let bytes = 0;
  socket.on("data", (chunk) => (bytes += chunk.length));
  socket.resume();
  await closed;
  await sleep(100);
  t.true(bytes > ANSWER_BYTES, `${bytes} bytes arrived`);
});
