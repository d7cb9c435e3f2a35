/** Tests of the choice of home VMs. */
import test from "ava";
import { runRowWriters } from "../bench/mod.ts";
import {
  type Millis,
  MILLIS_PER_SECOND,
  type VmWithRegion,
} from "../core/mod.ts";
import { chooseHomes, HOMES_PER_REGION, MAX_SMALL_REGION } from "./mod.ts";

const VMS = Array.from({ length: 40 }, (_, index) => `v${index}`);

function assignRegion(vms: readonly string[], region = "here"): VmWithRegion[] {
  return vms.map((vm) => ({ vm, region }));
}

function orderHomes(customer: string, vm: string, vms = VMS): string[] {
  const others = assignRegion(vms.filter((each) => each !== vm));
  return chooseHomes(customer, { self: { vm, region: "here" }, others });
}

function listHomes(customer: string, vms: readonly string[] = VMS): string[] {
  return orderHomes(customer, "v0", [...vms]).toSorted();
}

test("in a small region every VM is a home VM", (t) => {
  const few = VMS.slice(0, MAX_SMALL_REGION);
  t.deepEqual(listHomes("c", few), few.toSorted());
});

test("all VMs choose the same home VMs and ask them in different orders", (t) => {
  const orders = VMS.map((vm) => orderHomes("c", vm));
  const homes = new Set(orders.map((order) => order.toSorted().join()));
  t.is(homes.size, 1);
  t.is(new Set(orders.map((order) => order[0])).size, HOMES_PER_REGION);
});

test("home VMs of other regions come after those of the VM's own region", (t) => {
  const far = Array.from({ length: 20 }, (_, index) => `w${index}`);
  const others = [...assignRegion(far, "there"), ...assignRegion(VMS.slice(1))];
  const self = { vm: "v0", region: "here" };
  const homes = chooseHomes("c", { self, others });
  t.is(homes.length, 2 * HOMES_PER_REGION);
  t.true(homes.slice(0, HOMES_PER_REGION).every((vm) => VMS.includes(vm)));
  t.true(homes.slice(HOMES_PER_REGION).every((vm) => far.includes(vm)));
});

test("customers are spread over the VMs, and losing a VM reassigns only its own customers", (t) => {
  const customers = Array.from({ length: 200 }, (_, index) => `c${index}`);
  const counts = new Map<string, number>();
  for (const home of customers.flatMap((each) => listHomes(each))) {
    counts.set(home, (counts.get(home) ?? 0) + 1);
  }
  const mean = customers.length * HOMES_PER_REGION / VMS.length;
  t.true(Math.max(...counts.values()) < 2 * mean);
  const without = VMS.filter((vm) => vm !== "v7");
  for (const customer of customers) {
    const before = listHomes(customer);
    const after = listHomes(customer, without);
    const kept = before.filter((vm) => after.includes(vm)).length;
    t.is(kept, before.includes("v7") ? HOMES_PER_REGION - 1 : HOMES_PER_REGION);
  }
});

/** Maximum time that a request waits for tokens. */
const MAX_WAIT: Millis = 800;

test("the home VMs of large regions that are far from the store get through while requests wait at all of them", async (t) => {
  const pause = MAX_WAIT / 4;
  const { far } = await runRowWriters({
    perRegion: HOMES_PER_REGION,
    pause,
    duration: 20 * MILLIS_PER_SECOND,
  });
  const late = far.durations.filter((duration) => duration > MAX_WAIT);
  t.true(far.durations.length > 0);
  t.true(late.length <= far.durations.length / 20);
});
