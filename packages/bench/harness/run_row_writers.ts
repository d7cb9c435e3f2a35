/**
 * Simulates writers of one row, near the store and far from it, that lose
 * optimistic checks to each other.
 */
import type { Millis, RowOperation } from "../../core/mod.ts";
import { type RowPort, StoreWriter } from "../../ports/mod.ts";
import { MemoryTable } from "../../stand_ins/mod.ts";
import { SeededRandom } from "./random.ts";
import { VirtualClock } from "./virtual_clock.ts";

const KEY = "contended/row";

/** Round trips of a writer to the store from its own region and from another one. */
export const NEAR_ROUND_TRIP: Millis = 4;
export const FAR_ROUND_TRIP: Millis = 64;

/** Time that the store takes for one transaction on a row, one at a time. */
export const ROW_TRANSACTION_TIME: Millis = 5;

/** What writers of one region did. */
export interface RowWriterFacts {
  transactions: number;
  readonly durations: Millis[];
}

/** Writers near and far from one row; each pauses after each operation. */
export async function runRowWriters(
  input: {
    readonly perRegion: number;
    readonly pause: Millis;
    readonly duration: Millis;
  },
): Promise<{ near: RowWriterFacts; far: RowWriterFacts }> {
  const clock = new VirtualClock();
  const random = new SeededRandom(1);
  const memory = new MemoryTable({ now: () => clock.readMonotonic() });
  let freeAt = 0;
  const createTable = (roundTrip: Millis, facts: RowWriterFacts): RowPort => ({
    async read(keys) {
      await clock.wait(roundTrip / 2);
      const answer = await memory.read(keys);
      await clock.wait(roundTrip / 2);
      return answer;
    },
    async transact(transaction) {
      facts.transactions++;
      await clock.wait(roundTrip / 2);
      freeAt = Math.max(freeAt, clock.readMonotonic()) + ROW_TRANSACTION_TIME;
      await clock.wait(freeAt - clock.readMonotonic());
      const answer = await memory.transact(transaction);
      const row = memory.peek(KEY);
      await clock.wait(roundTrip / 2);
      return answer.map((each) =>
        each.committed
          ? each
          : { ...each, rows: row === undefined ? [] : [row] }
      );
    },
  });
  const run = async (name: string, input: {
    readonly roundTrip: Millis;
    readonly pause: Millis;
    readonly facts: RowWriterFacts;
  }) => {
    const writer = new StoreWriter({
      table: createTable(input.roundTrip, input.facts),
      clock,
      random: random.createBranch(name).uniform,
      sleep: (duration) => clock.wait(duration),
      groupDelay: 0,
    });
    const pauses = random.createBranch(`pauses/${name}`);
    await clock.wait(pauses.uniform() * input.pause);
    for (let number = 0;; number++) {
      const startedAt = clock.readMonotonic();
      await writer.run(createIncrement(`${name}/${number}`), {
        giveUpAt: Infinity,
      });
      input.facts.durations.push(clock.readMonotonic() - startedAt);
      await clock.wait(input.pause * (0.9 + 0.2 * pauses.uniform()));
    }
  };
  const near: RowWriterFacts = { transactions: 0, durations: [] };
  const far: RowWriterFacts = { transactions: 0, durations: [] };
  for (let number = 0; number < input.perRegion; number++) {
    const { pause } = input;
    void run(`near-${number}`, {
      roundTrip: NEAR_ROUND_TRIP,
      pause,
      facts: near,
    });
    void run(`far-${number}`, { roundTrip: FAR_ROUND_TRIP, pause, facts: far });
  }
  await clock.runUntil(input.duration);
  return { near, far };
}

/** Adds one to the number in the row. */
function createIncrement(id: string): RowOperation<void> {
  return {
    id,
    keys: [KEY],
    decide: (rows) => {
      const value = Number(rows.get(KEY)?.value ?? 0) + 1;
      return { writes: [{ key: KEY, value }], result: undefined };
    },
  };
}
