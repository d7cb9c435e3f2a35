/** Tests of the selection of quarantine entries for one message to a peer. */
import test from "ava";
import {
  listEntriesToSend,
  NEWEST_ENTRIES,
  OLDER_ENTRIES,
  type QuarantineEntry,
} from "../mod.ts";

const MANY = 500;

function createEntries(count: number): QuarantineEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    digest: `d${index}`,
    release: 0,
    crashes: [],
    quarantined: true,
    age: 0,
  }));
}

test("if there are few entries, each message has all of them once", (t) => {
  const entries = createEntries(NEWEST_ENTRIES + 3);
  const sent = listEntriesToSend(entries, 7).map((entry) => entry.digest)
    .sort();
  t.deepEqual(sent, entries.map((entry) => entry.digest).sort());
});

test("a message is bounded and has the newest entry, and rounds cover all entries", (t) => {
  const entries = createEntries(MANY);
  const received = new Set<string>();
  const rounds = Math.ceil(MANY / OLDER_ENTRIES) * 2;
  for (let round = 0; round < rounds; round++) {
    const sent = listEntriesToSend(entries, round);
    t.is(sent.length, NEWEST_ENTRIES + OLDER_ENTRIES);
    t.true(sent.includes(entries.at(-1)!));
    for (const entry of sent) received.add(entry.digest);
  }
  t.is(received.size, MANY);
});
