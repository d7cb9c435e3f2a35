/** Tests that the invariants of a view hold for any messages from peers. */
import test from "ava";
import fc from "fast-check";
import { computeHash } from "../core/mod.ts";
import {
  applyVmList,
  computeIncarnation,
  createMembershipView,
  expireMembers,
  type GossipMessage,
  isReplaced,
  type Member,
  type MembershipView,
  MemberState,
  parseGossip,
  planGossip,
  planReply,
  receiveGossip,
  recordGossipSent,
  recordProbeFailed,
} from "./mod.ts";

const { Live, Leaving, Suspect, Dead } = MemberState;

function createSelf(): Member {
  return {
    vm: "self",
    incarnation: "5",
    state: Live,
    region: "r",
    dataCentre: "d",
    peerAddress: "10.0.0.1:1",
    callerAddress: "10.0.0.1:2",
    documentVersion: 0,
    heardAt: 0,
  };
}

const update = fc.record({
  vm: fc.constantFrom("self", "a", "b", "c", "d"),
  incarnation: fc.constantFrom("4", "5", "6"),
  refutation: fc.nat(4),
  state: fc.constantFrom(Live, Leaving, Suspect, Dead),
  documentVersion: fc.nat(9),
  place: fc.constant({
    region: "r",
    dataCentre: "d",
    peerAddress: "10.0.0.2:1",
    callerAddress: "10.0.0.2:2",
  }),
}, {
  requiredKeys: [
    "vm",
    "incarnation",
    "refutation",
    "state",
    "documentVersion",
  ],
});

const message = fc.record({
  from: update,
  digest: fc.integer(),
  updates: fc.array(update, { maxLength: 4 }),
  page: fc.array(update, { maxLength: 3 }),
  pageAfter: fc.constantFrom("", "b"),
}, { requiredKeys: ["from", "digest", "updates"] });

const step = fc.oneof(
  message.map((each) => ({ type: "receive" as const, message: each })),
  fc.record({
    type: fc.constant("fail" as const),
    vm: fc.constantFrom("a", "b", "self"),
  }),
  fc.record({
    type: fc.constant("tick" as const),
    duration: fc.nat(20_000),
  }),
  fc.record({
    type: fc.constant("list" as const),
    leaving: fc.boolean(),
  }),
);

/**
 * Checks that digest, expiring and pending members agree with the members, and
 * that the VM itself stays live in its own incarnation.
 */
function checkInvariants(
  t: { true(value: boolean): void },
  view: MembershipView,
) {
  const members = [...view.members.values()];
  const digest = members
    .filter((each) => each.state !== Dead)
    .map((each) =>
      computeHash(
        `${each.vm}|${each.incarnation}|${
          view.records.get(each.vm)?.refutation
        }|${each.state}`,
      )
    )
    .reduce((sum, each) => sum ^ each, 0);
  t.true(digest === view.digest);
  const expiring = members.filter((each) =>
    each.state === Suspect || each.state === Dead
  );
  t.true(
    expiring.length === view.expiring.size &&
      expiring.every((each) => view.expiring.has(each.vm)),
  );
  t.true([...view.pending].every((vm) => view.members.has(vm)));
  const self = view.members.get("self");
  t.true(self?.state === Live && self.incarnation === "5");
}

test("the invariants of a view hold for any messages, and the VM itself stays live", (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 25 }), (steps) => {
      let now = 0;
      let view = createMembershipView(createSelf());
      for (const each of steps) {
        if (each.type === "receive") {
          const received = each.message as GossipMessage;
          view = receiveGossip(view, { message: received, now });
          t.true(JSON.stringify(planReply(view, received)).length < 4_096);
        } else if (each.type === "fail" && each.vm !== "self") {
          view = recordProbeFailed(view, { vm: each.vm, now });
        } else if (each.type === "list") {
          const listed = [{ vm: "a", leaving: each.leaving }];
          view = applyVmList(view, { listed, now });
        } else if (each.type === "tick") {
          now += each.duration;
          view = expireMembers(view, { now });
          const contacts = planGossip(view, { now, random: () => 0.3 });
          t.true(contacts.length <= 4);
          view = recordGossipSent(view, { contacts, now });
        }
        checkInvariants(t, view);
      }
    }),
    { numRuns: 500, seed: 6 },
  );
});

test("a later incarnation of the VM replaces it, an earlier one is ignored", (t) => {
  const receive = (incarnation: string) => {
    const own = { vm: "self", state: Live, refutation: 0, documentVersion: 0 };
    const from = { ...own, vm: "a", incarnation: "1" };
    const updates = [{ ...own, incarnation }];
    const received = { from, digest: 0, updates };
    const view = createMembershipView(createSelf());
    return receiveGossip(view, { message: received, now: 1 });
  };
  t.true(isReplaced(receive("6")));
  t.false(isReplaced(receive("4")));
});

test("an incarnation sorts after the previous one although the clock was set back", (t) => {
  const first = computeIncarnation({ wallTime: 2_000_000, salt: "x" });
  const next = computeIncarnation({
    wallTime: 1_000_000,
    previous: first,
    salt: "a",
  });
  t.true(next > first);
});

test("an invalid message is rejected with a reason and never makes the parser throw", (t) => {
  fc.assert(
    fc.property(fc.oneof(fc.jsonValue(), message), (value) => {
      const copy: unknown = JSON.parse(JSON.stringify(value));
      parseGossip(copy).caseOf({
        Left: (reason) => void t.not(reason, ""),
        Right: (parsed) => {
          const view = createMembershipView(createSelf());
          checkInvariants(t, receiveGossip(view, { message: parsed, now: 1 }));
        },
      });
    }),
    { numRuns: 500, seed: 6 },
  );
  t.true(parseGossip({}).isLeft());
});
