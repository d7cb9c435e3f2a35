/** Tests of the selection of quarantine entries for one message to a peer. */
import test from "ava";
import {
  listNewsWords,
  NEWEST_WORDS,
  OLDER_WORDS,
  type QuarantineWord,
} from "../mod.ts";

const MANY = 500;

function createWords(count: number): QuarantineWord[] {
  return Array.from({ length: count }, (_, index) => ({
    digest: `d${index}`,
    release: 0,
    crashes: [],
    quarantined: true,
    age: 0,
  }));
}

test("if there are few entries, each message has all of them once", (t) => {
  const words = createWords(NEWEST_WORDS + 3);
  const sent = listNewsWords(words, 7).map((word) => word.digest).sort();
  t.deepEqual(sent, words.map((word) => word.digest).sort());
});

test("a message is bounded and has the newest entry, and rounds cover all entries", (t) => {
  const words = createWords(MANY);
  const heard = new Set<string>();
  const rounds = Math.ceil(MANY / OLDER_WORDS) * 2;
  for (let round = 0; round < rounds; round++) {
    const sent = listNewsWords(words, round);
    t.is(sent.length, NEWEST_WORDS + OLDER_WORDS);
    t.true(sent.includes(words.at(-1)!));
    for (const word of sent) heard.add(word.digest);
  }
  t.is(heard.size, MANY);
});
