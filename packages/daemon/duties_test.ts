/** Model load and unload orders that real daemons send to engines. */
import test from "ava";
import { startTrialFleet, type TrialFleet } from "../trial/mod.ts";

const POLL_MILLIS = 10;

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLIS));
  }
}

interface DutyDump {
  readonly service: string;
  readonly fence: number | null;
}

function readFence(fleet: TrialFleet, vm: number): number | null {
  const dump = fleet.daemons[vm]!.context.kernel.readDump();
  const duties = dump["duties"] as readonly DutyDump[];
  return duties.find((duty) => duty.service === "chat")?.fence ?? null;
}

test("one VM orders engines to load the model, and another takes over its duty when it stops", async (t) => {
  const engine = { models: ["old"], checksFencing: true };
  const fleet = await startTrialFleet({
    engines: [engine, engine],
    model: "new",
    settings: {
      intervals: { dutyMillis: 50, loadReportMillis: 50, gossipMillis: 100 },
    },
  });
  t.teardown(() => fleet.kill());
  await waitUntil(() =>
    fleet.engines.every((each) => each.readOrders().length === 2)
  );
  for (const each of fleet.engines) {
    t.deepEqual(each.readOrders(), [
      { type: "load-model", name: "new", fence: 1 },
      { type: "unload-model", name: "old", fence: 1 },
    ]);
  }
  const fences = [readFence(fleet, 0), readFence(fleet, 1)];
  t.deepEqual([...fences].sort(), [1, null]);
  const holder = fences.indexOf(1);
  await fleet.daemons[holder]!.stop();
  const other = 1 - holder;
  await waitUntil(() => readFence(fleet, other) !== null);
  t.is(readFence(fleet, other), 2);
});
