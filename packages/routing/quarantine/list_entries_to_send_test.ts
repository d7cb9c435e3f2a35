/** Tests of the quarantine entries that one message carries. */
import test from "ava";
import {
  listEntriesToSend,
  NEWEST_ENTRIES,
  OLDER_ENTRIES,
  type QuarantineEntry,
} from "../mod.ts";

const MANY = 500;

function createWords(count: number): QuarantineEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    digest: `d${index}`,
    release: 0,
    crashes: [],
    quarantined: true,
    age: 0,
  }));
}

test("few entries all go into each message, once", (t) => {
  const words = createWords(NEWEST_ENTRIES + 3);
  const sent = listEntriesToSend(words, 7).map((word) => word.digest).sort();
  t.deepEqual(sent, words.map((word) => word.digest).sort());
});

test("a message is bounded, has the newest, and turns reach all the others", (t) => {
  const words = createWords(MANY);
  const heard = new Set<string>();
  const rounds = Math.ceil(MANY / OLDER_ENTRIES) * 2;
  for (let round = 0; round < rounds; round++) {
    const sent = listEntriesToSend(words, round);
    t.is(sent.length, NEWEST_ENTRIES + OLDER_ENTRIES);
    t.true(sent.includes(words.at(-1)!));
    for (const word of sent) heard.add(word.digest);
  }
  t.is(heard.size, MANY);
});
