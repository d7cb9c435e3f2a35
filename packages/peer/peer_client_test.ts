/** Tests of calls to peers whose machines have no power. */
import { Agent } from "node:http";
import test from "ava";
import { DarkAddress } from "../stand_ins/mod.ts";
import { PeerClient } from "./mod.ts";

// Guards against rounds of calls that never end, after which no other starts.
test("all calls to a peer that has no power end, also those that wait for a connection", async (t) => {
  const dark = await DarkAddress.start();
  const client = new PeerClient({
    findKey: () => "",
    timeout: 100,
    connectTimeout: 100,
    queueTimeout: 300,
    tls: false,
    agent: new Agent({ keepAlive: true, maxSockets: 2 }),
  });
  const borrower = { vm: "v1", incarnation: "1" };
  const answers = await Promise.all(
    Array.from({ length: 4 }, (_, number) => [
      client.lend(dark.address, {
        eventId: "tours",
        transferId: `t${number}`,
        wanted: 1,
        least: 1,
        borrower,
      }),
      client.findStream(dark.address, { id: "s", service: "llm", period: 1 }),
      client.keepStreams(dark.address, { streams: [] }),
    ]).flat(),
  );
  t.true(answers.every((answer) => answer.isLeft()));
  client.close();
  await dark.close();
});
