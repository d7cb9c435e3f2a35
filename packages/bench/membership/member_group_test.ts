/** Tests membership under crashes, pauses, partitions and restarts. */
import test from "ava";
import { MILLIS_PER_MINUTE, MILLIS_PER_SECOND } from "../../core/mod.ts";
import {
  computeSuspicionTimeout,
  isReplaced,
  MemberState,
} from "../../membership/mod.ts";
import { formatVm, MemberGroup } from "./member_group.ts";

const { Live, Suspect, Leaving, Dead } = MemberState;

function createGroup(count: number): MemberGroup {
  const group = new MemberGroup(7);
  group.startMembers(count);
  group.runFor(30 * MILLIS_PER_SECOND);
  return group;
}

function countDigests(group: MemberGroup): number {
  return new Set(group.listRunning().map((vm) => group.readView(vm).digest))
    .size;
}

test("after a crash all members see the crashed member as dead and no other one", (t) => {
  const group = createGroup(24);
  group.crashMember(formatVm(3));
  group.runFor(MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(3), [Dead]), 23);
  t.is(group.countMembersSeeing(formatVm(4), [Live]), 22);
  t.is(countDigests(group), 1);
});

test("a member paused for less than the suspicion timeout refutes the suspicion and stays live", (t) => {
  const group = createGroup(24);
  group.pauseMember(formatVm(3), computeSuspicionTimeout(24) / 2);
  group.runFor(MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(3), [Live]), 23);
});

test("a member that continues after it was declared dead is live again and suspects nobody", (t) => {
  const group = createGroup(24);
  group.pauseMember(formatVm(3), 2 * MILLIS_PER_MINUTE);
  group.runFor(MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(3), [Dead]), 23);
  group.runFor(2 * MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(3), [Live]), 23);
  const view = group.readView(formatVm(3));
  t.true([...view.members.values()].every((each) => each.state === Live));
});

test("a partition splits the group in two, and the group is whole again after it heals", (t) => {
  const group = createGroup(16);
  const isEast = (vm: string) => vm < formatVm(6);
  group.isLost = (from, to) => isEast(from) !== isEast(to);
  group.runFor(2 * MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(0), [Dead]), 10);
  t.is(group.countMembersSeeing(formatVm(0), [Live]), 5);
  group.isLost = () => false;
  group.runFor(2 * MILLIS_PER_MINUTE);
  for (const vm of group.listRunning()) {
    t.is(group.countMembersSeeing(vm, [Live]), 15);
  }
  t.is(countDigests(group), 1);
});

test("message loss in one direction between two members raises no suspicion", (t) => {
  const group = createGroup(16);
  group.isLost = (from, to) => from === formatVm(1) && to === formatVm(2);
  let wrong = 0;
  for (let second = 0; second < 180; second++) {
    group.runFor(MILLIS_PER_SECOND);
    wrong += group.countMembersSeeing(formatVm(2), [Suspect, Dead]);
  }
  t.is(wrong, 0);
});

test("a member restarted at the same address replaces its previous incarnation", (t) => {
  const group = createGroup(16);
  group.crashMember(formatVm(3));
  group.runFor(5 * MILLIS_PER_SECOND);
  const known = [...group.readView(formatVm(0)).members.values()];
  group.startMember(formatVm(3), known.slice(0, 4));
  group.runFor(MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(3), [Live]), 15);
  t.is(group.readView(formatVm(3)).members.size, 16);
  t.false(isReplaced(group.readView(formatVm(3))));
});

test("after the loss of a rack with a third of the members, all others see these as dead and each other as live", (t) => {
  const group = createGroup(48);
  const rack = Array.from({ length: 16 }, (_, index) => formatVm(index * 3));
  for (const vm of rack) group.crashMember(vm);
  group.runFor(90 * MILLIS_PER_SECOND);
  for (const vm of rack) t.is(group.countMembersSeeing(vm, [Dead]), 32);
  for (const vm of group.listRunning()) {
    t.is(group.countMembersSeeing(vm, [Live]), 31);
  }
});

test("all members learn within 8 s that a member is leaving, before it stops", (t) => {
  const group = createGroup(48);
  group.drainMember(formatVm(3));
  group.runFor(8 * MILLIS_PER_SECOND);
  t.is(group.countMembersSeeing(formatVm(3), [Leaving]), 47);
});

test("a member that starts with one known member learns of all, and all learn of it", (t) => {
  const group = createGroup(24);
  const known = group.readView(formatVm(0)).members.get(formatVm(0));
  group.startMember(formatVm(99), [known!]);
  group.runFor(MILLIS_PER_MINUTE);
  t.is(group.countMembersSeeing(formatVm(99), [Live]), 24);
  t.is(group.readView(formatVm(99)).members.size, 25);
});
