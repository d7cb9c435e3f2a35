/**
 * Guards against calls of peers that are answered in another form than tRPC's
 * client reads, and against bad requests that end the process or are run.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import {
  createGatewayRouter,
  createPeerHandler,
  type GatewayPeerHandlers,
} from "./peer_router.ts";

const KEY = "key-of-the-vm-with-twenty-four-bytes";
const LOAN = {
  eventId: "tours",
  transferId: "t1",
  wanted: 10,
  least: 10,
  borrower: { vm: "v2", incarnation: "1" },
};

const TRUSTED = { authorization: `Bearer ${KEY}` };
const CASES = [
  { path: "/lend", body: JSON.stringify(LOAN), status: 200, lent: 1 },
  { path: "/lend", body: JSON.stringify(LOAN), key: "other", status: 401 },
  { path: "/lend", body: JSON.stringify({ ...LOAN, wanted: -1 }), status: 400 },
  { path: "/lend", body: "{", status: 400 },
  { path: "/lend", body: "", status: 400 },
  { path: "/lend", body: "x".repeat(1_100_000), status: 413 },
  { path: "/lend", status: 404 },
  { path: "/unknown", body: "{}", status: 404 },
  { path: "//", body: "{}", status: 404 },
  { path: "/findStream?input=%7B", status: 400 },
];

for (const { path, body, key, status, lent = 0 } of CASES) {
  const size = body?.length ?? 0;
  test(`a peer's call of ${path} with ${size} bytes and ${key ?? "its"} key gets ${status} (${body?.slice(0, 60)})`, async (t) => {
    let loans = 0;
    const handlers = {
      lend: ({ transferId }) => {
        loans++;
        return { transferId, tokens: 0, reserved: 0, parts: [] };
      },
    } as Partial<GatewayPeerHandlers> as GatewayPeerHandlers;
    const handle = createPeerHandler(createGatewayRouter(handlers), KEY);
    const server = createServer(handle).listen(0, "127.0.0.1");
    t.teardown(() => server.close());
    await new Promise((resolve) => server.once("listening", resolve));
    const { port } = server.address() as AddressInfo;
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: key === undefined ? TRUSTED : { authorization: key },
      ...(body === undefined ? {} : { body }),
    });
    const text = await answer.json() as { result?: unknown; error?: unknown };
    t.is(answer.status, status);
    t.is(text.result === undefined, status !== 200);
    t.is(text.error === undefined, status === 200);
    t.is(loans, lent);
  });
}
