import type { AddressInfo } from "node:net";
import { createServer, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { AdaptiveAgent, sendRequest } from "./mod.ts";

/** A client of a server that leaves each answer to the test. */
async function startClient(
  answer: (outgoing: ServerResponse, number: number) => void,
) {
  const opened: number[] = [];
  const server = createServer((_, outgoing) => answer(outgoing, ++requests));
  let requests = 0;
  server.on("connection", () => opened.push(performance.now()));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const agent = new AdaptiveAgent({
    connectTimeout: { initial: 300, max: 2_000 },
    random: Math.random,
  });
  const call = async () => {
    if (!await agent.waitConnection()) return undefined;
    const { keepLate } = agent;
    const received = await sendRequest({
      method: "GET",
      url: `http://127.0.0.1:${port}/`,
      idleTimeout: 0,
      connectTimeout: 0,
      answerTimeout: 100,
      keepLate,
      agent,
    });
    return received.map(({ body }) => Buffer.from(body).toString()).extract();
  };
  const stop = () => {
    server.closeAllConnections();
    server.close();
  };
  return { call, opened, stop };
}

test("a call after a late answer uses its connection, and gets its own answer", async (t) => {
  for (const size of [10, 100_000]) {
    const client = await startClient((outgoing, number) => {
      const body = number === 1 ? "x".repeat(size) : String(number);
      setTimeout(() => outgoing.end(body), number === 1 ? 250 : 0);
    });
    t.like(await client.call(), { sent: true, timedOut: true });
    t.is(await client.call(), "2");
    // One that is too large is not read, and its connection is closed.
    t.is(client.opened.length, size === 10 ? 1 : 2);
    client.stop();
  }
});

test("while connections get no answer one is opened per interval, and all once a later one got one", async (t) => {
  // The second time, an interval has passed when the calls begin.
  for (const pause of [0, 300]) {
    const client = await startClient((outgoing, number) => {
      if (number > 2) outgoing.end(String(number));
    });
    await client.call();
    await sleep(pause);
    const calls = Array.from({ length: 6 }, () => client.call());
    const answers = await Promise.all(calls);
    t.is(answers.filter((each) => typeof each === "string").length, 5);
    const [first, second, third, fourth = third!] = client.opened;
    t.true(second! - first! > 250 && third! - second! > 250);
    t.true(fourth - third! < 250);
    client.stop();
  }
});
