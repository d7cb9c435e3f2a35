/** Tests of the record of the releases that served a service. */
import test from "ava";
import {
  findOnlyRelease,
  listRecordedReleases,
  planReleaseRecord,
  type ReleaseRecord,
} from "../mod.ts";

const PERIOD = 30_000;

/** Applies what VMs see in turn, one step a minute. */
function recordAll(
  sights: readonly { readonly listed: string[]; readonly gone?: string[] }[],
): ReleaseRecord | undefined {
  let record: ReleaseRecord | undefined;
  for (const [minute, { listed, gone = [] }] of sights.entries()) {
    const now = minute * 60_000;
    const isGone = (release: string) => gone.includes(release);
    record = planReleaseRecord(record, { listed, isGone, now }) ?? record;
  }
  return record;
}

function findOnly(record: ReleaseRecord | undefined, now: number) {
  return findOnlyRelease([
    listRecordedReleases(record, { now, period: PERIOD }),
  ]);
}

test("the only release is known once the record covers the whole period", (t) => {
  const record = recordAll([{ listed: ["v1"] }]);
  t.is(findOnly(record, PERIOD - 1), undefined);
  t.is(findOnly(record, PERIOD), "v1");
  t.is(findOnly(undefined, PERIOD), undefined);
});

test("two releases that serve at once leave no only one", (t) => {
  const record = recordAll([{ listed: ["v1"] }, { listed: ["v1", "v2"] }]);
  t.is(findOnly(record, 70_000), undefined);
});

test("a release that is gone counts for a period after it was found to be", (t) => {
  const record = recordAll([
    { listed: ["v1", "v2"] },
    { listed: ["v2"], gone: ["v1"] },
  ]);
  t.is(findOnly(record, 60_000 + PERIOD), undefined);
  t.is(findOnly(record, 60_001 + PERIOD), "v2");
});

test("a release that a VM doesn't list yet is not gone", (t) => {
  const record = recordAll([{ listed: ["v1", "v2"] }, { listed: ["v1"] }]);
  t.is(findOnly(record, 600_000), undefined);
});

test("a release that comes back serves again, and old ones leave the record", (t) => {
  const record = recordAll([
    { listed: ["v1", "v2"] },
    { listed: ["v2"], gone: ["v1"] },
    { listed: ["v1", "v2"] },
    ...Array.from({ length: 12 }, () => ({ listed: ["v1"], gone: ["v2"] })),
    { listed: ["v1", "v3"] },
  ]);
  t.deepEqual(record?.releases, [{ release: "v1" }, { release: "v3" }]);
  t.is(record?.since, 0);
});

test("what is recorded already is not written again", (t) => {
  const record = recordAll([{ listed: ["v1"] }]);
  const input = { listed: ["v1"], isGone: () => true, now: 5 };
  t.is(planReleaseRecord(record, input), undefined);
});
