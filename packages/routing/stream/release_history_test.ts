/** Tests of which releases can have begun a stream. */
import test from "ava";
import { findOnlyRelease, ReleaseHistory } from "../mod.ts";

const PERIOD = 30_000;

function createHistory(): ReleaseHistory {
  const history = new ReleaseHistory();
  history.recordListed([{ service: "llm", release: "v1" }], 0);
  return history;
}

function listSeen(history: ReleaseHistory, now: number, currentUntil = now) {
  return history.listSeen("llm", { now, period: PERIOD, currentUntil });
}

test("a VM that has not seen the whole period can't tell that there was one release", (t) => {
  const history = createHistory();
  const early = listSeen(history, PERIOD - 1);
  t.deepEqual(early, { releases: ["v1"], isComplete: false });
  t.is(findOnlyRelease([early]), undefined);
  history.recordListed([{ service: "llm", release: "v1" }], PERIOD);
  t.is(findOnlyRelease([listSeen(history, PERIOD)]), "v1");
});

test("a VM whose list is out of date can't tell that there was one release", (t) => {
  const history = createHistory();
  history.recordListed([{ service: "llm", release: "v1" }], 60_000);
  t.is(findOnlyRelease([listSeen(history, 60_000, 57_000)]), "v1");
  t.is(findOnlyRelease([listSeen(history, 60_000, 56_999)]), undefined);
});

test("a release that is gone counts for as long as its streams may be resumed", (t) => {
  const history = createHistory();
  history.recordListed([{ service: "llm", release: "v1" }], 60_000);
  history.recordListed([{ service: "llm", release: "v2" }], 60_001);
  t.is(findOnlyRelease([listSeen(history, 90_000)]), undefined);
  history.recordListed([{ service: "llm", release: "v2" }], 90_001);
  t.is(findOnlyRelease([listSeen(history, 90_001)]), "v2");
});

test("what one VM has missed is known from another", (t) => {
  const unsure = { releases: ["v1"], isComplete: false };
  const sure = { releases: ["v1"], isComplete: true };
  const other = { releases: ["v2"], isComplete: false };
  t.is(findOnlyRelease([unsure, sure]), "v1");
  t.is(findOnlyRelease([unsure, unsure]), undefined);
  t.is(findOnlyRelease([sure, other]), undefined);
  t.is(findOnlyRelease([{ releases: [], isComplete: true }]), undefined);
});
