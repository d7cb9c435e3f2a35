/** Tests of two simultaneous faults. */
import test from "ava";
import { AttemptEnd } from "../ports/mod.ts";
import {
  AnswerAssembler,
  applyLeavingNotices,
  applyReport,
  applyTargets,
  chooseTarget,
  ChunkAction,
  createRoutingState,
  listLeavingNotices,
  Quarantine,
  recordAttemptEnd,
  recordAttemptStart,
  type RoutingState,
} from "./mod.ts";
import {
  createFleet,
  createRandom,
  createRequest,
  createTarget,
} from "./test_fleet.ts";

const FOUR_TARGETS = ["t0", "t1", "t2", "t3"].map((id) => createTarget(id));

function createState(): RoutingState {
  const configuration = createFleet(FOUR_TARGETS);
  return applyTargets(createRoutingState(), { configuration, now: 0 });
}

/** Returns the set of targets that 60 choices select. */
function listChosen(
  state: RoutingState,
  input: { now: number; tried?: string[]; avoided?: string[] },
): Set<string> {
  const random = createRandom();
  const { now, ...excluded } = input;
  const request = createRequest(excluded);
  const chosen = Array.from(
    { length: 60 },
    () =>
      chooseTarget(state, { request, now, random })
        .map((target) => target.id).orDefault("none"),
  );
  return new Set(chosen);
}

test("dead target during a partition: each VM excludes it by itself, and an old leaving notice of a peer does not make it usable again", (t) => {
  const near = createState();
  const far = createState();
  const report = { running: 0, queued: 0, models: [], leaving: false };
  for (const state of [near, far]) {
    applyReport(state, "t0", { report, now: 0 });
    for (let attempt = 0; attempt < 3; attempt++) {
      recordAttemptStart(state, "t0");
      recordAttemptEnd(state, "t0", { now: 1_000, end: AttemptEnd.NotSent });
    }
    t.false(listChosen(state, { now: 1_100 }).has("t0"));
  }
  const notices = listLeavingNotices(near, 1_200);
  applyLeavingNotices(far, { notices, now: 4_000 });
  t.false(listChosen(far, { now: 4_000 }).has("t0"));
});

test("request that crashes targets during a drain: its retry avoids the leaving target and targets of other suspects, and the drain does not count as a crash", (t) => {
  const state = createState();
  const quarantine = new Quarantine();
  const leaving = { running: 1, queued: 0, models: [], leaving: true };
  applyReport(state, "t1", { report: leaving, now: 0 });
  quarantine.recordStart("draining", "t1");
  quarantine.recordStart("poison", "t0");
  quarantine.recordStart("beside", "t0");
  quarantine.recordCrash("t0", 1_000);
  quarantine.recordStart("beside", "t2");
  const avoided = quarantine.listSuspectTargets("poison", 1_100);
  const chosen = listChosen(state, { now: 1_100, tried: ["t0"], avoided });
  t.deepEqual([...chosen], ["t3"]);
  quarantine.recordStart("poison", "t3");
  quarantine.recordCrash("t3", 2_000);
  t.true(quarantine.isQuarantined("poison", 2_000));
  t.false(quarantine.isQuarantined("beside", 2_000));
  quarantine.recordEnd("draining", { target: "t1", complete: true });
  t.false(quarantine.isQuarantined("draining", 2_000));
});

test("target lost during a stream to a slow caller: the answer resumes where it stopped, without a duplicate or missing byte", (t) => {
  const chunks = Array.from({ length: 40 }, (_, index) => `token ${index};`);
  const answer = new AnswerAssembler({ tokenBound: 40 });
  const sent: string[] = [];
  const receive = (attempt: number, position: number) => {
    const chunk = { position, data: chunks[position]!, tokens: 1 };
    const action = answer.receive(attempt, chunk);
    if (action === ChunkAction.Pass) sent.push(chunk.data);
    return action;
  };
  const first = answer.startAttempt()!;
  for (let position = 0; position < 17; position++) receive(first, position);
  const second = answer.startAttempt({ resumeAt: 17 })!;
  t.is(receive(first, 17), ChunkAction.Drop);
  for (let position = 15; position < 30; position++) receive(second, position);
  const third = answer.startAttempt({ resumeAt: 30 })!;
  for (let position = 30; position < 40; position++) {
    receive(second, position);
    receive(third, position);
  }
  t.is(sent.join(""), chunks.join(""));
});
