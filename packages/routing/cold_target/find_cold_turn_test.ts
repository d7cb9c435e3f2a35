/**
 * Tests of the bound on the requests that all VMs together send to a cold target
 * in any second, with callers who use each turn, all at the same times.
 */
import test from "ava";
import { computeHash } from "../../core/mod.ts";
import { computeColdTurns, findColdTurn, TurnGroups } from "../mod.ts";

const SECOND = 1_000;
const SECONDS = 30;
const STEP = 12;
const TURNS = computeColdTurns({ perSecond: 10, overage: 1.5, slack: 5 });

/** What a target may get in a second, and what VMs use that agree. */
const BOUND = 20;
const USED = 14;

/** How a VM differs from one that knows all others and whose clock is right. */
interface SimulatedVm {
  /** Number of VMs that it knows, the first ones. */
  readonly known?: number;
  /** Time by which its clock is late. */
  readonly lag?: number;
  /** Time that its requests take. */
  readonly delay?: number;
  /** When it forgets the turns that it has used. */
  readonly restartsAt?: number;
}

/** Callers of all VMs at once: all the time, or in bursts that save turns. */
const DEMANDS: readonly ((now: number) => boolean)[] = [
  () => true,
  (now) => now % 3_000 < 1_200,
  (now) => now % 700 > 600,
];

/** Returns the arrivals at a target from one of some VMs. */
function simulate(
  vm: SimulatedVm & { readonly index: number; readonly count: number },
  input: { readonly isAsking: (now: number) => boolean; readonly id: string },
): number[] {
  const { known = vm.count, lag = 0, delay = 0, restartsAt = Infinity } = vm;
  const peers = Array.from(
    { length: known },
    (_, index) => ({ vm: `v${index}` }),
  )
    .filter((_, index) => index !== vm.index);
  const groups = new TurnGroups(`v${vm.index}`);
  const arrivals: number[] = [];
  let used = -Infinity;
  for (let now = 0; now < SECONDS * SECOND; now += STEP) {
    if (now === restartsAt) used = -Infinity;
    const listedSince = now < restartsAt ? -5_000 : restartsAt;
    const group = groups.read({ peers, listedSince, now });
    if (group === undefined || !input.isAsking(now)) continue;
    const clock = { group, now: now - lag };
    const targetHash = computeHash(input.id);
    for (;;) {
      const turn = findColdTurn({ turns: TURNS, targetHash, clock, used });
      if (turn === undefined) break;
      used = turn;
      arrivals.push(now + delay);
    }
  }
  return arrivals;
}

function countMost(unordered: readonly number[]): number {
  const arrivals = unordered.toSorted((left, right) => left - right);
  let [first, most] = [0, 0];
  arrivals.forEach((at, index) => {
    while (arrivals[first]! <= at - SECOND) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Each failure that the bound must stand, with the most that is allowed. */
const CASES: readonly {
  readonly name: string;
  readonly counts: readonly number[];
  readonly most: number;
  /** Number of VMs that have joined besides. */
  readonly joined?: (count: number) => number;
  readonly create: (index: number, count: number) => SimulatedVm;
}[] = [{
  name: "agree",
  counts: [1, 8, 68],
  most: USED,
  create: () => ({}),
}, {
  name: "have late clocks and slow requests",
  counts: [1, 8, 68],
  most: BOUND,
  create: (index) => ({ lag: index % 4 * 90, delay: index % 7 * 60 }),
}, {
  name: "agree, one of which restarts and forgets the turns that it used",
  counts: [1, 8, 68],
  most: USED,
  create: (index) => index === 0 ? { restartsAt: 792 * STEP } : {},
}, {
  name: "don't know another one that has joined",
  counts: [8, 68],
  most: BOUND,
  joined: () => 1,
  create: (index, count) => index < count ? { known: count } : {},
}, {
  name: "are cut off by half while an eighth more join",
  counts: [8, 68],
  most: BOUND,
  joined: (count) => Math.ceil(count / 8),
  create: (index, count) =>
    index < count && index % 2 === 0 ? { known: count } : {},
}, {
  // Two lists without a VM in common may use each turn twice.
  name: "don't know another one that has joined",
  counts: [1],
  most: 2 * USED,
  joined: () => 1,
  create: (index) => ({ known: index + 1 }),
}];

for (const { name, counts, most, joined = () => 0, create } of CASES) {
  for (const first of counts) {
    test(`${first} VMs that ${name} send at most ${most} requests a second`, (t) => {
      const count = first + joined(first);
      const vms = Array.from({ length: count }, (_, index) => index);
      const seen = DEMANDS.flatMap((isAsking) =>
        ["a", "b", "c"].map((id) =>
          vms.flatMap((index) =>
            simulate({ ...create(index, first), index, count }, {
              isAsking,
              id,
            })
          )
        )
      );
      const found = Math.max(...seen.map(countMost));
      t.log(`${found} in a second`);
      t.true(found <= most);
      // All turns but those of a VM that restarts are used.
      t.true(seen[0]!.length >= SECONDS * SECOND / TURNS.interval * 0.9 - 1);
    });
  }
}
