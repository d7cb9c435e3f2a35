/** Tests that a VM waits for the list of peers, and not for too long. */
import test from "ava";
import { isPeerListSettled } from "./peer_settling.ts";

test("a VM that knows no peers yet doesn't take itself for a home VM", (t) => {
  const input = { startedAt: 500, changedAt: undefined };
  t.false(isPeerListSettled({ ...input, now: 500 }));
  t.false(isPeerListSettled({ ...input, now: 3_000 }));
});

test("a list that VMs still join is settled only after it was quiet", (t) => {
  const input = { startedAt: 500, changedAt: 2_000 };
  t.false(isPeerListSettled({ ...input, now: 2_900 }));
  t.true(isPeerListSettled({ ...input, now: 3_000 }));
});

test("a VM without peers, or with a list that never settles, waits a few seconds at most", (t) => {
  t.true(
    isPeerListSettled({ startedAt: 500, changedAt: undefined, now: 4_500 }),
  );
  t.true(isPeerListSettled({ startedAt: 500, changedAt: 4_400, now: 4_500 }));
});
