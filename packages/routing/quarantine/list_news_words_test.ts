/** Tests of the selection of quarantine entries for one message to a peer. */
import test from "ava";
import {
  listNewsWords,
  NEWEST_WORDS,
  OLDER_WORDS,
  type QuarantineWord,
} from "../mod.ts";

const MANY = 500;

function createEntries(count: number): QuarantineWord[] {
  return Array.from({ length: count }, (_, index) => ({
    digest: `d${index}`,
    release: 0,
    crashes: [],
    quarantined: true,
    age: 0,
  }));
}

test("if there are few entries, each message has all of them once", (t) => {
  const entries = createEntries(NEWEST_WORDS + 3);
  const sent = listNewsWords(entries, 7).map((entry) => entry.digest).sort();
  t.deepEqual(sent, entries.map((entry) => entry.digest).sort());
});

test("a message is bounded and has the newest entry, and rounds cover all entries", (t) => {
  const entries = createEntries(MANY);
  const received = new Set<string>();
  const rounds = Math.ceil(MANY / OLDER_WORDS) * 2;
  for (let round = 0; round < rounds; round++) {
    const sent = listNewsWords(entries, round);
    t.is(sent.length, NEWEST_WORDS + OLDER_WORDS);
    t.true(sent.includes(entries.at(-1)!));
    for (const entry of sent) received.add(entry.digest);
  }
  t.is(received.size, MANY);
});
