/** Tests of splitting a stream of server-sent events into complete events. */
import test from "ava";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

test("events keep their bytes and ids, however the stream is split into chunks", (t) => {
  const events = [
    "id: 1\ndata: a\n\n",
    "data: no id\n\n",
    "id:3\r\ndata: b\r\n\r\n",
    ": comment\nid: 4\ndata: id: 9\n\n",
    ": data: none\n\n",
  ];
  const ids = ["1", undefined, "3", "4", undefined];
  const text = Buffer.from(events.join("") + "id: 5\ndata: cut");
  fc.assert(
    fc.property(fc.array(fc.nat(text.length)), (splitPoints) => {
      const splitter = new EventSplitter();
      const ends = [...splitPoints, text.length].sort((left, right) =>
        left - right
      );
      const received = [];
      let from = 0;
      for (const end of ends) {
        received.push(...splitter.push(text.subarray(from, end)));
        from = end;
      }
      t.deepEqual(received.map((each) => each.bytes.toString()), events);
      t.deepEqual(received.map((each) => each.id), ids);
      const contents = received.map((each) => each.hasContent);
      t.deepEqual(contents, [true, true, true, true, false]);
      t.is(splitter.takeRemainder().toString(), "id: 5\ndata: cut");
    }),
    { seed: 11, numRuns: 200 },
  );
});

test("an event in many tiny chunks is not copied for each chunk", (t) => {
  const splitter = new EventSplitter();
  const chunk = Buffer.from("data: x\n");
  const startedAt = performance.now();
  for (let number = 0; number < 120_000; number++) splitter.push(chunk);
  const [event] = splitter.push(Buffer.from("\n"));
  t.is(event?.bytes.length, 120_000 * chunk.length + 1);
  t.true(performance.now() - startedAt < 3_000);
});
