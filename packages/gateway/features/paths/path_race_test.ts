/** Tests of what a connection to a target shows about the paths. */
import { Socket } from "node:net";
import test from "ava";
import { RelayOutcome } from "../../../ports/mod.ts";
import { TargetPath } from "../../../routing/mod.ts";
import { PathRace } from "./path_race.ts";

test("a reset of a direct connection that was established shows no lost path", async (t) => {
  const direct = new Socket();
  const relayed = new Socket();
  const recorded: string[] = [];
  const used: unknown[] = [];
  new PathRace({
    plan: { first: TargetPath.Direct, relayDelay: 0 },
    limit: 500,
    connect: () => direct,
    done: (_error, socket) => used.push(socket),
    askPeers: async (onSocket) => {
      // The answer comes just after the direct connection.
      direct.emit("connect");
      onSocket(relayed);
      return await Promise.resolve([RelayOutcome.Connected]);
    },
    recordDirect: () => recorded.push("direct"),
    recordRelayed: () => recorded.push("relayed"),
    recordUnreached: () => recorded.push("unreached"),
    isRefusalProven: () => true,
  }).start();
  await new Promise((resolve) => setTimeout(resolve, 20));
  direct.emit("error", new Error("read ECONNRESET"));
  t.deepEqual(used, [direct]);
  t.deepEqual(recorded, ["direct"]);
  t.true(relayed.destroyed);
});
