/** Tests of which VMs hold tokens ahead of need, with even and crowded load. */
import test from "ava";
import {
  decideHolder,
  type HolderInput,
  MAX_HOLDERS_BY_SHARE,
} from "../mod.ts";

const INPUT: HolderInput = {
  isHome: false,
  isHolder: false,
  rate: 0,
  totalRate: undefined,
  hasTraffic: true,
  outageCoverage: 12_000,
  usualRequest: 2_000,
};

/** Returns how many VMs are holders by their share of the spending. */
function countHolders(rates: readonly number[], isHolder: boolean): number {
  const totalRate = rates.reduce((sum, rate) => sum + rate, 0);
  return rates
    .filter((rate) => decideHolder({ ...INPUT, rate, totalRate, isHolder }))
    .length;
}

test("a home VM is a holder, another one only if it knows its share", (t) => {
  t.true(decideHolder({ ...INPUT, isHome: true }));
  t.false(decideHolder({ ...INPUT, rate: 20_000 }));
  const crowded = { ...INPUT, rate: 20_000, totalRate: 24_000 };
  t.true(decideHolder(crowded));
  t.false(decideHolder({ ...crowded, hasTraffic: false }));
});

test("with even load no VM of a large fleet is a holder, with crowded load the crowded ones are", (t) => {
  for (const vms of [24, 79, 195, 380]) {
    const even = Array.from({ length: vms }, () => 5_000);
    t.is(countHolders(even, false), 0);
    t.is(countHolders(even, true), 0);
    const crowded = even.map((rate, vm) => vm < 3 ? rate * vms : rate);
    t.is(countHolders(crowded, false), 3);
  }
});

test("the number of holders by share is bounded, whatever the load and the fleet", (t) => {
  for (const vms of [6, 24, 195, 380]) {
    for (const skew of [0, 0.5, 1, 2, 4]) {
      const rates = Array.from(
        { length: vms },
        (_, vm) => 1e6 / (vm + 1) ** skew,
      );
      t.true(countHolders(rates, true) <= MAX_HOLDERS_BY_SHARE);
      t.true(countHolders(rates, false) <= MAX_HOLDERS_BY_SHARE / 2);
    }
  }
});

test("a VM near the bound neither joins nor leaves again and again", (t) => {
  const near = { ...INPUT, rate: 7_500, totalRate: 100_000 };
  t.false(decideHolder(near));
  t.true(decideHolder({ ...near, isHolder: true }));
  t.false(decideHolder({ ...near, rate: 4_000, isHolder: true }));
});

test("a VM that alone sends a customer's few requests borrows", (t) => {
  t.false(decideHolder({ ...INPUT, rate: 300, totalRate: 300 }));
});
