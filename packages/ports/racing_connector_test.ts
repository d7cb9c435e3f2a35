import { Socket } from "node:net";
import test from "ava";
import { startConnecting } from "./racing_connector.ts";

/** A socket whose connection is established or refused after a delay. */
class SlowSocket extends Socket {
  constructor(delay: number, error?: Error) {
    super();
    setTimeout(() => {
      if (this.destroyed) return;
      if (error === undefined) this.emit("connect");
      else this.destroy(error);
    }, delay);
  }
}

interface Outcome {
  readonly result: "connected" | "refused" | "timeout";
  readonly sockets: readonly Socket[];
  readonly winner?: Socket;
  readonly elapsed: number;
}

function connect(
  limit: number,
  createSocket: (attempt: number) => Socket,
): Promise<Outcome> {
  const startedAt = performance.now();
  const sockets: Socket[] = [];
  return new Promise((resolve) => {
    const end = (result: Outcome["result"], winner?: Socket) => {
      const elapsed = performance.now() - startedAt;
      const common = { result, sockets, elapsed };
      resolve(winner === undefined ? common : { ...common, winner });
    };
    startConnecting({
      connect: () => {
        const socket = createSocket(sockets.length);
        sockets.push(socket);
        return socket;
      },
      interval: 50,
      limit,
    }, {
      onConnected: (socket) => end("connected", socket),
      onRefused: () => end("refused"),
      onTimeout: () => end("timeout"),
    });
  });
}

test("a connection that takes several intervals is established", async (t) => {
  const outcome = await connect(1_000, () => new SlowSocket(230));
  t.is(outcome.result, "connected");
  t.is(outcome.winner, outcome.sockets[0]);
  t.true(outcome.sockets.slice(1).every((each) => each.destroyed));
  outcome.winner?.destroy();
});

test("a path that works again is used while an earlier attempt still hangs", async (t) => {
  const outcome = await connect(
    2_000,
    (attempt) => new SlowSocket(attempt < 3 ? 10_000 : 1),
  );
  t.is(outcome.result, "connected");
  t.is(outcome.winner, outcome.sockets[3]);
  t.true(outcome.elapsed < 1_000);
  t.true(outcome.sockets.slice(0, 3).every((each) => each.destroyed));
  outcome.winner?.destroy();
});

test("a refused connection fails at once, and a silent one at the limit", async (t) => {
  const refused = await connect(
    10_000,
    () => new SlowSocket(5, new Error("ECONNREFUSED")),
  );
  t.is(refused.result, "refused");
  t.is(refused.sockets.length, 1);
  const silent = await connect(120, () => new SlowSocket(10_000));
  t.is(silent.result, "timeout");
  t.true(silent.sockets.every((each) => each.destroyed));
});
