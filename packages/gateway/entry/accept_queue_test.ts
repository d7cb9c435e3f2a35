/** Tests how a backlog of new connections is told from a burst. */
import test from "ava";
import {
  AcceptQueue,
  BacklogAction,
  decideBacklogAction,
} from "./accept_queue.ts";

/** A queue whose time and turns a test advances. */
function createQueue() {
  let now = 0;
  let scheduled: (() => void)[] = [];
  const queue = new AcceptQueue({
    readTime: () => now,
    scheduleTurn: (run) => void scheduled.push(run),
  });
  const takeTurn = (input: { millis: number; accepts: boolean }) => {
    now += input.millis;
    if (input.accepts) queue.recordAccepted();
    const due = scheduled;
    scheduled = [];
    for (const run of due) run();
  };
  return { queue, takeTurn, countScheduled: () => scheduled.length };
}

test("a queue that each turn accepts from stands until a turn finds it empty", (t) => {
  const { queue, takeTurn, countScheduled } = createQueue();
  for (let turn = 0; turn < 20; turn++) takeTurn({ millis: 60, accepts: true });
  t.is(queue.standing, 19 * 60);
  takeTurn({ millis: 60, accepts: false });
  t.is(queue.standing, 0);
  t.is(countScheduled(), 0);
});

test("a burst that is accepted in short turns is no backlog", (t) => {
  const { queue, takeTurn } = createQueue();
  for (let turn = 0; turn < 500; turn++) {
    takeTurn({ millis: 0.4, accepts: true });
  }
  t.is(decideBacklogAction(queue.standing), BacklogAction.Admit);
});

test("requests from a backlog are refused, and all requests if it lasts", (t) => {
  t.is(decideBacklogAction(0), BacklogAction.Admit);
  t.is(decideBacklogAction(499), BacklogAction.Admit);
  t.is(decideBacklogAction(500), BacklogAction.RefuseAccepted);
  t.is(decideBacklogAction(1_500), BacklogAction.RefuseAll);
});
