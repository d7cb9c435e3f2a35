/** Tests of connections that peers relay. */
import test from "ava";
import { RelayOutcome, startRelayedConnection } from "./mod.ts";

for (const address of ["no address:x", "", "127.0.0.1:1"]) {
  test(`a peer at the address "${address}" relays nothing and harms nothing`, async (t) => {
    const answer = await startRelayedConnection({
      peer: { vm: "v2", address },
      key: "k".repeat(24),
      target: "127.0.0.1:1",
      timeout: 200,
    });
    t.is(answer.outcome, RelayOutcome.Declined);
  });
}

test("a key that can't be sent relays nothing and harms nothing", async (t) => {
  const answer = await startRelayedConnection({
    peer: { vm: "v2", address: "127.0.0.1:1" },
    key: "line\nbreak",
    target: "127.0.0.1:1",
    timeout: 200,
  });
  t.is(answer.outcome, RelayOutcome.Declined);
});
