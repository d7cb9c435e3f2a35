/** Tests of changed settings of a running gateway. */
import test from "ava";
import { GATEWAY_SCHEMA } from "./gateway_settings.ts";
import {
  computeSettingsDigest,
  mergeRunningSettings,
} from "./running_settings.ts";

const RUNNING = GATEWAY_SCHEMA.parse({
  vm: "v1",
  dataCentre: "a",
  regions: { a: "west", b: "west" },
  callers: "127.0.0.1:1",
  readiness: "127.0.0.1:2",
  store: { address: "127.0.0.1:3" },
});

test("what needs a restart keeps its value and is refused by name", (t) => {
  const merged = mergeRunningSettings(RUNNING, {
    ...RUNNING,
    callers: "127.0.0.1:9",
    operators: "127.0.0.1:8",
    regions: { a: "west" },
    store: { address: "127.0.0.1:7", writesPerSecond: 100 },
  });
  t.deepEqual(merged.refused, ["callers", "operators", "store.address"]);
  t.deepEqual(merged.changed, ["regions", "store"]);
  t.deepEqual(merged.settings, {
    ...RUNNING,
    regions: { a: "west" },
    store: { address: "127.0.0.1:3", writesPerSecond: 100 },
  });
});

test("an optional setting that is taken out is named as changed", (t) => {
  const coldTargets = { overage: 1.5, slack: 5 };
  const merged = mergeRunningSettings({ ...RUNNING, coldTargets }, RUNNING);
  t.deepEqual(merged.changed, ["coldTargets"]);
  t.is(merged.settings.coldTargets, undefined);
});

test("VMs with the same shared settings have the same digest", (t) => {
  const digest = computeSettingsDigest(RUNNING);
  const other = {
    ...RUNNING,
    vm: "v2",
    dataCentre: "b",
    callers: "127.0.0.2:1",
    regions: { b: "west", a: "west" },
  };
  t.is(computeSettingsDigest(other), digest);
  const regions = { ...RUNNING.regions, b: "east" };
  t.not(computeSettingsDigest({ ...RUNNING, regions }), digest);
});
