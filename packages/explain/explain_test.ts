/** Tests of building a request's timeline from log lines. */
import test from "ava";
import { findRequestTimeline, formatTimeline, parseLogLine } from "./mod.ts";

const TEXT = `
  1.0 v1 ts=2026-01-01T00:00:01.000Z level=info event=configuration_applied version=3
  1.1 v1 ts=2026-01-01T00:00:01.100Z level=info event=configuration_applied version=4
  1.2 v2 ts=2026-01-01T00:00:01.200Z level=info event=configuration_applied version=9
  1.3 v1 ts=2026-01-01T00:00:01.300Z level=warn event=dependency_lost dependency=targets reason=cancelled
  1.5 v1 ts=2026-01-01T00:00:01.500Z level=info event=grant_exchanged customer=tours room=10 budget_left=900
  1.6 v1 ts=2026-01-01T00:00:01.600Z level=info event=grant_exchanged customer=others room=7
  2.0 v1 ts=2026-01-01T00:00:02.000Z level=warn event=budget_short request=q7 customer=tours tokens=50 room=10
  0.9 v2 ts=2026-01-01T00:00:00.900Z level=info event=loan_made customer=tours borrower=v1 tokens=3
  1.9 v2 ts=2026-01-01T00:00:01.900Z level=info event=loan_made customer=tours borrower=v1 tokens=0
  1.9 v2 ts=2026-01-01T00:00:01.901Z level=info event=loan_made customer=tours borrower=v3 tokens=5
not a line
  2.0 v1 ts=2026-01-01T00:00:02.001Z level=info event=request_refused request=q7 reason="budget unreachable" status=503
  2.1 v1 ts=2026-01-01T00:00:02.100Z level=info event=request_ended request=q8 status=200
  2.2 v1 ts=2026-01-01T00:00:02.200Z level=info event=standby_used customer=tours
`;

function parse(text: string) {
  return text.split("\n").map((line) => parseLogLine(line, "file"))
    .filter((line) => line !== undefined);
}

test("a timeline has the request's lines and the state of its VM at the time", (t) => {
  const timeline = findRequestTimeline(parse(TEXT), "q7");
  t.deepEqual(timeline.requestEntries.map((entry) => entry.text), [
    "budget_short customer=tours tokens=50 room=10",
    "request_refused reason=budget unreachable status=503",
  ]);
  t.deepEqual(timeline.stateEntries.map((entry) => entry.text), [
    "configuration_applied version=4",
    "dependency_lost dependency=targets reason=cancelled",
    "grant_exchanged customer=tours room=10 budget_left=900",
    "loan_made customer=tours borrower=v1 tokens=0",
  ]);
  t.is(
    formatTimeline(timeline).split("\n").at(-1),
    "*     1 ms  v1  request_refused reason=budget unreachable status=503",
  );
});

test("an unknown request has no lines, and other text is not a log line", (t) => {
  t.deepEqual(findRequestTimeline(parse(TEXT), "q9").requestEntries, []);
  t.is(parseLogLine("", "f"), undefined);
  t.is(parseLogLine("ts=never level=info event=x", "f"), undefined);
  t.is(
    parse('ts=2026-01-01T00:00:00Z level=info event=x a="cut')[0]?.source,
    "file",
  );
});

test("the timeline of a request shows the limits of its targets, or of all if they refused it", (t) => {
  const lines = parse(`
  1.0 v1 ts=2026-01-01T00:00:01.000Z level=info event=target_limited target=t1 per_second=3 vms=8
  1.1 v1 ts=2026-01-01T00:00:01.100Z level=info event=target_limited target=t1 per_second=1 vms=8
  1.2 v1 ts=2026-01-01T00:00:01.200Z level=info event=target_limited target=t2 per_second=2 vms=8
  2.0 v1 ts=2026-01-01T00:00:02.000Z level=info event=target_chosen request=q1 target=t2 limited=true
  2.1 v1 ts=2026-01-01T00:00:02.100Z level=info event=request_refused request=q2 reason=targets-limited
`);
  const listState = (id: string) =>
    findRequestTimeline(lines, id).stateEntries.map((entry) => entry.text);
  const [first, second] = [
    "target_limited target=t1 per_second=1 vms=8",
    "target_limited target=t2 per_second=2 vms=8",
  ];
  t.deepEqual(listState("q1"), [second]);
  t.deepEqual(listState("q2"), [first, second]);
});
