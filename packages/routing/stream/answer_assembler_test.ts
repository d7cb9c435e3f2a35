/**
 * Tests that answers are sent in order and never joined from different
 * generations, and of the backpressure of slow callers.
 */
import test from "ava";
import fc from "fast-check";
import type { StreamChunk } from "../../ports/mod.ts";
import {
  AnswerAssembler,
  BackpressureAction,
  ChunkAction,
  decideBackpressure,
} from "../mod.ts";

function createChunk(position: number, data = `c${position}`): StreamChunk {
  return { position, data, tokens: 1 };
}

test("late chunks of an abandoned attempt are not sent to the caller", (t) => {
  const answer = new AnswerAssembler({ tokenBound: 100 });
  const first = answer.startAttempt()!;
  const second = answer.startAttempt()!;
  t.is(answer.receive(first, createChunk(0)), ChunkAction.Drop);
  t.is(answer.receive(second, createChunk(0)), ChunkAction.Pass);
});

test("an answer that was partly sent can only be resumed at the next position", (t) => {
  const answer = new AnswerAssembler({ tokenBound: 100 });
  const first = answer.startAttempt()!;
  answer.receive(first, createChunk(0));
  answer.receive(first, createChunk(1));
  t.is(answer.startAttempt(), undefined);
  t.is(answer.startAttempt({ resumeAt: 1 }), undefined);
  const second = answer.startAttempt({ resumeAt: 2 })!;
  t.is(answer.receive(second, createChunk(1)), ChunkAction.Drop);
  t.is(answer.receive(second, createChunk(2)), ChunkAction.Pass);
});

test("a missing chunk aborts the attempt", (t) => {
  const answer = new AnswerAssembler({ tokenBound: 100 });
  const first = answer.startAttempt()!;
  t.is(answer.receive(first, createChunk(1)), ChunkAction.Break);
  t.is(answer.receive(first, createChunk(0)), ChunkAction.Drop);
  t.not(answer.startAttempt(), undefined);
});

test("an answer is truncated before it exceeds the reserved tokens", (t) => {
  const answer = new AnswerAssembler({ tokenBound: 2 });
  const first = answer.startAttempt()!;
  answer.receive(first, createChunk(0));
  answer.receive(first, createChunk(1));
  t.is(answer.receive(first, createChunk(2)), ChunkAction.Cut);
  t.is(answer.readProgress().tokens, 2);
  t.is(answer.startAttempt({ resumeAt: 2 }), undefined);
});

test("with random failures, repeated and late chunks, the caller receives an exact prefix of one generation", (t) => {
  const step = fc.oneof(
    fc.record({
      type: fc.constant("chunk"),
      attempt: fc.nat(4),
      skip: fc.nat(2),
    }),
    fc.record({ type: fc.constant("restart") }),
    fc.record({ type: fc.constant("resume") }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const answer = new AnswerAssembler({ tokenBound: 1_000 });
      const attempts: { id: number; generation: number; next: number }[] = [];
      const sent: string[] = [];
      let generation = 0;
      for (const each of steps) {
        if (each.type === "chunk" && "attempt" in each) {
          const from = attempts[each.attempt];
          if (from === undefined) continue;
          from.next += each.skip === 2 ? 1 : 0;
          const data = `g${from.generation}:${from.next}`;
          const chunk = createChunk(from.next++, data);
          const action = answer.receive(from.id, chunk);
          if (action === ChunkAction.Pass) sent.push(data);
          continue;
        }
        const resumeAt = each.type === "resume" ? sent.length : 0;
        const id = answer.startAttempt({ resumeAt });
        if (id === undefined) continue;
        if (resumeAt === 0) generation++;
        const next = Math.max(0, resumeAt - 1);
        attempts.push({ id, generation, next });
      }
      const [firstSent] = sent;
      const sentGeneration = firstSent?.split(":")[0];
      t.deepEqual(sent, sent.map((_, index) => `${sentGeneration}:${index}`));
    }),
    { seed: 7, numRuns: 2_000 },
  );
});

test("a slow caller pauses reading from the target, and after 30 s the attempt is cancelled", (t) => {
  t.is(
    decideBackpressure({ buffered: 10, blockedFor: 99_000 }),
    BackpressureAction.Read,
  );
  t.is(
    decideBackpressure({ buffered: 99_000, blockedFor: 10 }),
    BackpressureAction.Hold,
  );
  t.is(
    decideBackpressure({ buffered: 99_000, blockedFor: 30_000 }),
    BackpressureAction.Abandon,
  );
});
