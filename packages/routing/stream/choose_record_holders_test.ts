/** Tests of the choice of VMs that keep and are asked for records of streams. */
import test from "ava";
import { SeededRandom } from "../../bench/mod.ts";
import type { VmWithRegion } from "../../core/mod.ts";
import { chooseRecordHolders, chooseVmsToAsk, RECORD_HOLDERS } from "../mod.ts";

const REGIONS = ["west", "east"];

function createVms(count: number): VmWithRegion[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `v${index}`,
    region: REGIONS[index % REGIONS.length]!,
  }));
}

function choose(
  rule: typeof chooseRecordHolders,
  input: {
    readonly vms: readonly VmWithRegion[];
    readonly self: VmWithRegion;
    readonly stream: string;
  },
): string[] {
  const { vms, self, stream } = input;
  const others = vms.filter((each) => each.vm !== self.vm);
  return rule(stream, { self, others });
}

const STREAMS = Array.from({ length: 100 }, (_, number) => `stream-${number}`);

for (const count of [4, 8, 380]) {
  test(`any of ${count} VMs asks all holders of a stream of its region`, (t) => {
    const vms = createVms(count);
    for (const stream of STREAMS) {
      const [origin, other] = [vms[0]!, vms[2]!];
      const holders = choose(chooseRecordHolders, {
        vms,
        self: origin,
        stream,
      });
      t.is(holders.length, Math.min(RECORD_HOLDERS, count / 2 - 1));
      const known = [origin.vm, ...holders];
      const asked = choose(chooseVmsToAsk, { vms, self: other, stream });
      const unasked = holders.filter((vm) =>
        vm !== other.vm && !asked.includes(vm)
      );
      t.deepEqual(unasked, []);
      t.true(known.includes(other.vm) || asked.length > 0);
      t.true(asked.length <= 2 * RECORD_HOLDERS + 2);
    }
  });
}

/** Fraction of the VMs that are killed with the VM that began a stream. */
const KILLED_SHARE = 0.35;

/** At most half of the streams may be refused for want of a record. */
const MAX_LOST_SHARE = 0.5;

test("after a kill of 35 in 100 VMs, most streams of the killed ones have a record", (t) => {
  const random = new SeededRandom(1);
  const vms = createVms(40);
  let lost = 0;
  const rounds = 1_000;
  for (let round = 0; round < rounds; round++) {
    const stream = `stream-${round}`;
    const origin = vms[round % vms.length]!;
    const holders = choose(chooseRecordHolders, { vms, self: origin, stream });
    if (holders.every(() => random.drawChance(KILLED_SHARE))) lost++;
  }
  t.true(lost / rounds < MAX_LOST_SHARE, `${lost} of ${rounds}`);
});
