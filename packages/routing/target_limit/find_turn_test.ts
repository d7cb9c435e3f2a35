/** Tests of turns at a target that limits the requests of all VMs. */
import test from "ava";
import fc from "fast-check";
import { findTurn, type VmOrder } from "../mod.ts";

const SECOND = 1_000;
const WINDOW = 4 * SECOND;
const STEP = 20;

/** Sends of VMs that use each turn as soon as a function lets them ask. */
function listSends(
  input: {
    readonly perSecond: number;
    readonly vms: number;
    readonly seconds: number;
    readonly isAsking?: (vm: number, now: number) => boolean;
    readonly findOrder?: (vm: number, now: number) => VmOrder;
  },
): { readonly vm: number; readonly at: number }[] {
  const { perSecond, vms, isAsking = () => true } = input;
  const findOrder = input.findOrder ??
    ((vm: number) => ({ index: vm, count: vms }));
  const used = new Map<number, number>();
  const sends = [];
  for (let now = 0; now < input.seconds * SECOND; now += STEP) {
    for (let vm = 0; vm < vms; vm++) {
      if (!isAsking(vm, now)) continue;
      const last = used.get(vm);
      const turn = findTurn({
        perSecond,
        targetHash: 7,
        order: findOrder(vm, now),
        now,
        ...(last === undefined ? {} : { used: last }),
      });
      if (turn === undefined) continue;
      used.set(vm, turn);
      sends.push({ vm, at: now });
    }
  }
  return sends;
}

function countMost(sends: readonly { readonly at: number }[]): number {
  return Math.max(
    0,
    ...sends.map(({ at }) =>
      sends.filter((each) => each.at >= at && each.at < at + WINDOW).length
    ),
  );
}

/** What a target may get in a window: half more than its limit, and 5. */
function computeAllowed(perSecond: number): number {
  return 1.5 * perSecond * WINDOW / SECOND + 5;
}

test("whatever the VMs' demand, a target gets no more than its limit allows", (t) => {
  fc.assert(
    fc.property(
      fc.constantFrom(0, 0.1, 0.5, 1, 2, 7.5, 20),
      fc.constantFrom(1, 2, 8, 59),
      fc.array(fc.tuple(fc.nat(12), fc.nat(12)), { maxLength: 6 }),
      (perSecond, vms, pauses) => {
        const isAsking = (vm: number, now: number) =>
          !pauses.some(([each, from]) =>
            vm % 3 === each % 3 && now >= from * SECOND &&
            now < (from + 4) * SECOND
          );
        const sends = listSends({ perSecond, vms, seconds: 16, isAsking });
        return countMost(sends) <= computeAllowed(perSecond);
      },
    ),
    { numRuns: 60, seed: 26 },
  );
  t.pass();
});

test("the limit is used, by all VMs alike", (t) => {
  const sends = listSends({ perSecond: 2, vms: 8, seconds: 40 });
  t.true(sends.length >= 79);
  for (let vm = 0; vm < 8; vm++) {
    t.true(sends.filter((each) => each.vm === vm).length >= 9);
  }
});

test("a target that accepts nothing still gets a request now and then", (t) => {
  const sends = listSends({ perSecond: 0, vms: 8, seconds: 40 });
  t.true(sends.length >= 8);
});

test("a VM that rarely has a request uses the turn before it lapses", (t) => {
  const isAsking = (_vm: number, now: number) => now % (3 * SECOND) === 0;
  const sends = listSends({ perSecond: 1, vms: 4, seconds: 40, isAsking });
  t.true(sends.length >= 32);
});

test("VMs that come and go and see the others late keep to the limit", (t) => {
  const findOrder = (vm: number, now: number) => {
    const known = now >= (10 + vm * 0.4) * SECOND ? 9 : 8;
    return { index: (vm + known - 8) % known, count: known };
  };
  for (const perSecond of [0.5, 1, 4]) {
    const sends = listSends({ perSecond, vms: 8, seconds: 30, findOrder });
    t.true(countMost(sends) <= computeAllowed(perSecond));
  }
});
