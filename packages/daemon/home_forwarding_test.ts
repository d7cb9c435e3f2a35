/** Tests of requests that are forwarded to home VMs without power. */
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import test from "ava";
import { createSystemClock, type EventConfig } from "../core/mod.ts";
import { createSilentLog } from "../runtime/mod.ts";
import { DarkAddress } from "../stand_ins/mod.ts";
import type { CallerRequest } from "./entry/caller_request.ts";
import { HomeForwarding } from "./features/home_forwarding.ts";
import type { NodeContext } from "./node_context.ts";

/** Time that a caller gives its request. */
const CALLER_MILLIS = 1_000;

/** Forwards one request to an address; returns whether it was answered there. */
async function forwardTo(address: string): Promise<boolean> {
  const clock = createSystemClock();
  const context = {
    settings: { vm: "v1", callers: {} },
    log: createSilentLog(),
    clock,
  } as unknown as NodeContext;
  const forwarding = new HomeForwarding(context, {
    peerKey: "",
    listHomes: () => ["v2"],
    findCallerAddress: () => address,
  });
  const accepted = {
    event: {} as EventConfig,
    requestKey: "r1",
    receivedBody: Buffer.from("{}"),
    deadline: clock.readMonotonic() + CALLER_MILLIS,
  } as unknown as CallerRequest;
  return await new Promise((resolve) => {
    const server = createHttpServer((request, response) => {
      void forwarding.forward({ request, response, accepted }).then((done) => {
        response.end();
        forwarding.close();
        server.close();
        resolve(done);
      });
    });
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      void fetch(`http://127.0.0.1:${port}/`, { method: "POST", body: "{}" });
    });
  });
}

// Guards against callers who wait for a lost home VM until TCP gives up.
test("a request whose home VM has no power is served by this VM", async (t) => {
  const dark = await DarkAddress.start();
  t.false(await forwardTo(dark.address));
  await dark.close();
});

// Guards against the same on a connection that was kept.
test("a request whose home VM is connected and never answers comes back after its deadline", async (t) => {
  const server = createServer(() => {});
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  t.false(await forwardTo(`127.0.0.1:${port}`));
  server.close();
});
