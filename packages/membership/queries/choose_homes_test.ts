/** Tests of choosing the home VMs of events. */
import test from "ava";
import { TrieMap } from "../../core/mod.ts";
import {
  chooseHomes,
  createMembershipView,
  type Member,
  type MembershipView,
  MemberState,
} from "../mod.ts";

const EVENTS = Array.from({ length: 2_000 }, (_, index) => `event-${index}`);

function createView(
  vms: readonly string[],
  changes: Readonly<Record<string, Partial<Member>>> = {},
): MembershipView {
  const members = vms.map((vm): [string, Member] => [vm, {
    vm,
    incarnation: "1",
    state: MemberState.Live,
    region: "west",
    dataCentre: "west-a",
    peerAddress: "",
    callerAddress: "",
    documentVersion: 1,
    heardAt: 0,
    ...changes[vm],
  } as Member]);
  const view = createMembershipView(members[0]![1]);
  return {
    ...view,
    members: TrieMap.createEmpty<Member>().merge(members),
  };
}

function chooseAll(view: MembershipView, homes = 1): string[] {
  return EVENTS.map((eventId) =>
    chooseHomes(view, { eventId, region: "west", homes }).join()
  );
}

const VMS = Array.from({ length: 20 }, (_, index) => `vm-${index}`);

test("views with the same live VMs choose the same homes in any order", (t) => {
  const changes = { "vm-3": { heardAt: 99 } };
  const shuffled = createView([...VMS].reverse(), changes);
  t.deepEqual(chooseAll(createView(VMS)), chooseAll(shuffled));
});

test("when a VM leaves, only the events it was home to move", (t) => {
  const before = chooseAll(createView(VMS));
  const leaving = { "vm-7": { state: MemberState.Leaving } };
  const after = chooseAll(createView(VMS, leaving));
  t.false(after.includes("vm-7"));
  for (const [index, home] of before.entries()) {
    if (home !== "vm-7") t.is(after[index], home);
  }
  t.deepEqual(chooseAll(createView(VMS)), before);
});

test("each VM gets a similar share of the events", (t) => {
  const counts = new Map<string, number>();
  for (const home of chooseAll(createView(VMS))) {
    counts.set(home, (counts.get(home) ?? 0) + 1);
  }
  const mean = EVENTS.length / VMS.length;
  for (const vm of VMS) {
    t.true((counts.get(vm) ?? 0) > mean / 2);
    t.true((counts.get(vm) ?? 0) < mean * 2);
  }
});

test("an event with several homes gets different VMs in a stable order", (t) => {
  const view = createView(VMS);
  const choose = (homes: number) =>
    chooseHomes(view, { eventId: "hot", region: "west", homes });
  const three = choose(3);
  t.is(new Set(three).size, 3);
  t.deepEqual(choose(1), three.slice(0, 1));
  t.is(choose(50).length, VMS.length);
  t.deepEqual(choose(3), three);
});

test("VMs that are not live or in another region are not chosen", (t) => {
  const view = createView(["a", "b", "c"], {
    a: { region: "east" },
    b: { state: MemberState.Suspect },
  });
  const choose = (region: string) =>
    chooseHomes(view, { eventId: "e", region, homes: 2 });
  t.deepEqual(choose("west"), ["c"]);
  t.deepEqual(choose("east"), ["a"]);
  t.deepEqual(choose("north"), []);
});
