/** Tests who reads the configuration from the store, and whom the others ask. */
import test from "ava";
import type { VmWithRegion } from "../../../core/mod.ts";
import {
  chooseConfigurationPeer,
  chooseOverduePeers,
  isConfigurationReader,
  isDrawnAsReader,
  isLateAnswer,
  isLeftToReaders,
  type KnownVms,
} from "./choose_configuration_peer.ts";

function createVms(count: number, region: string): VmWithRegion[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${region}-${index}`,
    region,
  }));
}

function listViews(vms: readonly VmWithRegion[]): KnownVms[] {
  return vms.map((self) => ({
    self,
    others: vms.filter((each) => each !== self),
  }));
}

const FAR = createVms(29, "far");
const ALL = [...FAR, ...createVms(30, "near")];

test("two VMs of a large region read from the store, and all of a small one", (t) => {
  t.is(listViews(ALL).filter(isConfigurationReader).length, 4);
  const small = createVms(5, "far");
  t.true(listViews(small).every(isConfigurationReader));
  const [alone] = small;
  t.true(isConfigurationReader({ self: alone!, others: [] }));
});

test("a VM asks a reader of its region first, then any VM, then the next reader", (t) => {
  const views = listViews(ALL);
  const readers = views.filter(isConfigurationReader).map(({ self }) => self);
  const local = readers.filter(({ region }) => region === "far")
    .map(({ vm }) => vm);
  const view = views.find(({ self }) =>
    self.region === "far" && !local.includes(self.vm)
  )!;
  const choose = (attempt: number) =>
    chooseConfigurationPeer(view, { attempt, lateAnswers: 0, random: 0.5 });
  t.deepEqual([choose(0)!, choose(2)!].toSorted(), local.toSorted());
  t.is(choose(1), view.others[29]!.vm);
  t.false(local.includes(choose(4)!));
  t.true(readers.some(({ vm }) => vm === choose(4)));
});

test("a VM whose configuration is overdue asks a reader and other VMs at once", (t) => {
  const [view] = listViews(ALL);
  const draws = [0, 0.2, 0.7];
  const input = { attempt: 0, lateAnswers: 0, random: () => draws.shift()! };
  const first = chooseConfigurationPeer(view!, { ...input, random: 0 });
  const drawn = [0.2, 0.7].map((random) =>
    view!.others[Math.floor(random * view!.others.length)]!.vm
  );
  t.deepEqual(chooseOverduePeers(view!, input), [first!, ...drawn]);
  const alone = { self: FAR[0]!, others: [] };
  t.deepEqual(chooseOverduePeers(alone, { ...input, random: () => 0 }), []);
});

test("a VM whose reader answers late follows the other reader of its region", (t) => {
  t.false(isLateAnswer(1_400, 4_000));
  t.true(isLateAnswer(1_401, 4_000));
  for (const view of listViews(ALL)) {
    const follow = (lateAnswers: number) =>
      chooseConfigurationPeer(view, { attempt: 0, lateAnswers, random: 0 });
    t.is(follow(2), follow(0));
    if (!isConfigurationReader(view)) t.not(follow(1), follow(0));
    t.is(follow(1)?.split("-")[0], view.self.region);
  }
});

test("if a region's readers are gone, as many VMs take their place", (t) => {
  const readers = listViews(FAR).filter(isConfigurationReader)
    .map(({ self }) => self);
  const left = FAR.filter((each) => !readers.includes(each));
  t.is(listViews(left).filter(isConfigurationReader).length, 2);
});

test("a VM leaves the store to a connected reader up to its deadline", (t) => {
  const isLeft = (age: number, isReaderConnected = true) =>
    isLeftToReaders({ age, deadline: 4_000, isReaderConnected });
  t.true(isLeft(4_000));
  t.false(isLeft(4_001));
  t.false(isLeft(2_700, false));
});

test("about as many VMs of a region turn to the store at a time as it has readers", (t) => {
  const [view] = listViews(ALL);
  const draws = Array.from({ length: 1_000 }, (_, index) => index / 1_000);
  const drawn = draws.filter((random) => isDrawnAsReader(view!, random));
  t.true(Math.abs(drawn.length - 1_000 * 2 / FAR.length) <= 1);
});

test("a VM that knows no other has nobody to ask", (t) => {
  const view = { self: FAR[0]!, others: [] };
  for (const attempt of [0, 1, 2]) {
    const input = { attempt, lateAnswers: 1, random: 0 };
    t.is(chooseConfigurationPeer(view, input), undefined);
  }
});
