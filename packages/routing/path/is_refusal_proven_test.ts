/** Tests of the proof that no process listens at a target. */
import test from "ava";
import { RelayOutcome } from "../../ports/mod.ts";
import { isRefusalProven } from "../mod.ts";

const { Refused, Unlisted, Unreachable, Declined } = RelayOutcome;

test("a refusal is the target's own if all peers that were asked are refused", (t) => {
  t.true(isRefusalProven({ outcomes: [Refused, Refused], peers: 7 }));
  t.true(isRefusalProven({ outcomes: [Refused, Unlisted], peers: 7 }));
  t.true(isRefusalProven({ outcomes: [Refused], peers: 1 }));
  t.true(isRefusalProven({ outcomes: [], peers: 0 }));
});

test("a refusal proves nothing if peers were not asked, or saw something else", (t) => {
  t.false(isRefusalProven({ outcomes: [], peers: 7 }));
  t.false(isRefusalProven({ outcomes: [Refused], peers: 7 }));
  t.false(isRefusalProven({ outcomes: [Refused, Unreachable], peers: 7 }));
  t.false(
    isRefusalProven({ outcomes: [Refused, Refused, Declined], peers: 7 }),
  );
});
