/** Tests of the bounds of buffered answers. */
import test from "ava";
import { MAX_ANSWER_BYTES } from "../../ports/mod.ts";
import { AnswerBuffer } from "./answer_buffer.ts";
import { MAX_BUFFERED_BYTES, RequestMemory } from "./request_memory.ts";

const createMemory = () =>
  new RequestMemory({ capacity: 2 * MAX_BUFFERED_BYTES, readTime: () => 0 });

const HALF = Buffer.alloc(MAX_ANSWER_BYTES / 2 - 1_024);

test("one answer and all answers together are bounded, and closing one makes room", (t) => {
  const memory = createMemory();
  const buffers = Array.from(
    { length: MAX_BUFFERED_BYTES / MAX_ANSWER_BYTES },
    () => new AnswerBuffer(memory),
  );
  for (const buffer of buffers) {
    t.is(buffer.push(HALF), undefined);
    t.is(buffer.push(HALF), undefined);
  }
  t.truthy(buffers[0]!.push(HALF));
  const next = new AnswerBuffer(memory);
  t.truthy(next.push(HALF));
  t.is(buffers[0]!.close().length, 2 * HALF.length);
  t.is(next.push(HALF), undefined);
  t.is(next.close().length, HALF.length);
});

test("an answer in tiny chunks is bounded by the memory that they take", (t) => {
  const buffer = new AnswerBuffer(createMemory());
  const chunk = Buffer.from("x");
  let count = 0;
  while (buffer.push(chunk) === undefined) count++;
  t.true(count < MAX_ANSWER_BYTES / 100);
});
