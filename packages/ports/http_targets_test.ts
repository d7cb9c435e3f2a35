/** Tests of calls to targets that give no final answer. */
import { type AddressInfo, createServer } from "node:net";
import test from "ava";
import { createSystemClock, type TargetConfig } from "../core/mod.ts";
import { DarkAddress } from "../stand_ins/mod.ts";
import { AttemptEnd, HttpTargets, type TargetCall } from "./mod.ts";

/** Starts a target that sends a head with an empty body. */
async function startTarget(head: string) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once(
      "data",
      () => socket.end(`${head}\r\nContent-Length: 2\r\n\r\nok`),
    );
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const call = {
    target: { id: "t", url: `http://127.0.0.1:${port}` } as TargetConfig,
    path: "/",
    body: Buffer.from("{}"),
    priority: "normal",
    digest: "d",
    progressTimeout: 1_000,
    signal: new AbortController().signal,
  } as unknown as TargetCall;
  return { call, close: () => server.close() };
}

// Guards against statuses that can't be written as that of an answer, which
// would leave the caller without one.
for (
  const head of [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x",
  ]
) {
  test(`a target that sends ${JSON.stringify(head)} has not answered`, async (t) => {
    const target = await startTarget(head);
    const targets = new HttpTargets(createSystemClock());
    const called = await targets.call(target.call);
    t.is(called.end, AttemptEnd.Broken);
    const streamed = await targets.stream(target.call, () => {});
    t.is(streamed.end, AttemptEnd.Broken);
    targets.close();
    target.close();
  });
}

// Guards against attempts, probes and orders that a target without power holds
// until TCP gives up.
test("calls of a target that has no power end in time", async (t) => {
  const dark = await DarkAddress.start();
  const target = { id: "t", url: `http://${dark.address}` } as TargetConfig;
  const targets = new HttpTargets(createSystemClock());
  const call = {
    target,
    path: "/",
    body: Buffer.from("{}"),
    priority: "normal",
    digest: "d",
    progressTimeout: 60_000,
    signal: new AbortController().signal,
  } as unknown as TargetCall;
  const order = { type: "load", name: "m", fence: 1, timeout: 100 };
  t.is((await targets.call(call)).end, AttemptEnd.NotSent);
  t.is((await targets.stream(call, () => {})).end, AttemptEnd.NotSent);
  t.is(await targets.probe(target, 100), undefined);
  t.false(await targets.order(target, order));
  const cancel = { streamId: "s", timeout: 100 };
  t.is(await targets.cancel(target, cancel), undefined);
  targets.close();
  await dark.close();
});
