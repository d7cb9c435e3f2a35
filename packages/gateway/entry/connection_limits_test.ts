/** Tests of the decisions which connections of callers are closed. */
import { Socket } from "node:net";
import test from "ava";
import { CallerConnections } from "./caller_connections.ts";
import {
  chooseClosedConnection,
  CloseReason,
  ConnectionPhase,
  type ConnectionState,
  findExceededLimit,
} from "./connection_limits.ts";
import { computeMachineLimits } from "./machine_limits.ts";

const { Idle, Head, Body, Rest, Busy } = ConnectionPhase;
const NOW = 1_000_000;
const MAX_BODY_BYTES = 4_194_304;

/** Bytes per second of the slowest link. */
const LINK_RATE = 875_000;

/** Creates a connection from the ages of its phase, last byte and progress. */
function createState(
  phase: ConnectionPhase,
  age: number,
  extra: {
    readonly bytes?: number;
    readonly silence?: number;
    readonly address?: string;
  } = {},
): ConnectionState {
  const { bytes = 0, silence = 0, address = "a" } = extra;
  return {
    phase,
    since: NOW - age,
    times: { headerTimeout: 3_000, idleTimeout: 15_000 },
    bodyBytes: bytes,
    lastByteAt: NOW - silence,
    progressAt: NOW - silence,
    address,
  };
}

const LIMITS: Record<
  string,
  readonly [ConnectionState, CloseReason | undefined]
> = {
  "a connection without a request": [createState(Idle, 14_900), undefined],
  "one that is idle for too long": [
    createState(Idle, 20_000),
    CloseReason.Idle,
  ],
  "a head": [createState(Head, 2_900), undefined],
  "a head that takes too long": [
    createState(Head, 3_100),
    CloseReason.SlowHead,
  ],
  "a body at a tenth of the slowest link": [
    createState(Body, MAX_BODY_BYTES / LINK_RATE * 10_000, {
      bytes: MAX_BODY_BYTES - 1,
    }),
    undefined,
  ],
  "a body that is silent": [
    createState(Body, 15_100, { bytes: MAX_BODY_BYTES - 1, silence: 15_100 }),
    CloseReason.SlowBody,
  ],
  "a body with an occasional byte": [
    createState(Body, 16_000, { bytes: 16 }),
    CloseReason.SlowBody,
  ],
  "a body that trickles after a good beginning": [
    createState(Body, 80_000, { bytes: MAX_BODY_BYTES - 1 }),
    CloseReason.SlowBody,
  ],
  "a request that waits for its answer": [createState(Busy, 60_000), undefined],
};

for (const [what, [state, expected]] of Object.entries(LIMITS)) {
  test(`limits of time: ${what}`, (t) => {
    t.is(findExceededLimit(state, NOW), expected);
  });
}

const CHOICES: Record<
  string,
  readonly [Record<string, ConnectionState>, string]
> = {
  "an idle one goes first, the longest idle": [{
    stalled: createState(Body, 9_000, { silence: 9_000 }),
    idle: createState(Idle, 2_000, { silence: 2_000 }),
    idler: createState(Idle, 3_000, { silence: 3_000 }),
  }, "idler"],
  "a refused one goes before an incomplete one": [{
    stalled: createState(Body, 9_000, { silence: 9_000 }),
    refused: createState(Rest, 100),
  }, "refused"],
  "the one without progress goes before a new one": [{
    opened: createState(Idle, 10),
    stalled: createState(Head, 900, { silence: 900 }),
    moving: createState(Body, 9_000, { bytes: 1_000_000 }),
  }, "stalled"],
  "the address that holds the most gives up one": [{
    only: createState(Body, 9_000, { silence: 9_000, address: "b" }),
    first: createState(Body, 10),
    second: createState(Body, 20, { silence: 20 }),
  }, "second"],
  "a complete request stays": [{ busy: createState(Busy, 9_000) }, "none"],
};

for (const [what, [connections, expected]] of Object.entries(CHOICES)) {
  test(`a connection for a new one: ${what}`, (t) => {
    const chosen = chooseClosedConnection(Object.values(connections), NOW);
    const names = Object.keys(connections);
    t.is(
      names.find((name) => connections[name] === chosen) ?? "none",
      expected,
    );
  });
}

// Guards against callers that are refused as silent while their connection waits
// for its turn to be read.
test("a caller whose connection waits to be read is not silent", (t) => {
  let now = 0;
  const connections = new CallerConnections({
    readTime: () => now,
    machine: computeMachineLimits(undefined),
    recordClosed: () => {},
    recordHeld: () => {},
  });
  connections.limits = { ...connections.limits, idleTimeout: 400 };
  const connection = connections.find(new Socket());
  connection.startBody(() => {});
  connection.reader.isQueued = true;
  now = connection.times.idleTimeout - 1;
  connection.observe(now);
  now += 2;
  t.is(findExceededLimit(connection, now), undefined);
  connection.reader.isQueued = false;
  now += connection.times.idleTimeout;
  connection.observe(now);
  t.is(findExceededLimit(connection, now), CloseReason.SlowBody);
});
