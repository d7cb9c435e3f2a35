/**
 * The store comes back from a copy four seconds old. Then the operator takes a
 * key away and moves a route to another service. Counts the requests that are
 * handled by the older manifest long after the store's ack.
 */
import {
  createManifest,
  createRoute,
  HAS_TROUBLE,
  runCase,
  sleep,
} from "../lib/system.mjs";

const KEPT_KEY = "key-that-stays";
const REVOKED_KEY = "key-taken-away";
const CALL_INTERVAL_MILLIS = 40;

const COPY_AFTER_MILLIS = 4_000;
const COPY_AGE_MILLIS = 4_000;
const AWAY_MILLIS = 1_000;
/** From the store's return to the operator's next manifest. */
const NEXT_MANIFEST_MILLIS = 300;

/**
 * `configDeadlineMs` + `maxStretchMs` + `contactMs` of depo-log: by then all
 * gateways are in touch and the longest bound has passed.
 */
const BOUND_MILLIS = 3_000 + 6_000 + 4_000;
const CHECK_MILLIS = 12_000;

const plainRoutes = [
  createRoute("lookup"),
  createRoute("entry", { kind: "non_idempotent", maxAttempts: 1 }),
];
const createTenants = (keys, prepaid) => [
  { name: "depots", apiKeys: keys, prepaid },
];

await runCase(import.meta.url, async (start) => {
  const system = await start({
    manifest: createManifest({
      version: 1,
      routes: plainRoutes,
      tenants: createTenants([KEPT_KEY, REVOKED_KEY], 100_000),
    }),
    apps: 2,
    spares: 2,
    engines: 2,
  });
  const { store, gateways } = system;
  const calls = [];
  const send = (route, key) => {
    const gateway = gateways[calls.length % gateways.length];
    calls.push(system.call(gateway, { route, key }));
  };
  const serveFor = async (millis) => {
    const end = system.now() + millis;
    while (system.now() < end) {
      send("lookup", KEPT_KEY);
      await sleep(CALL_INTERVAL_MILLIS);
    }
  };
  await serveFor(COPY_AFTER_MILLIS);
  if (HAS_TROUBLE) system.note(`the copy is made at version ${store.copy()}`);
  await serveFor(COPY_AGE_MILLIS - 500);
  // The tenant gets more tokens, shortly before the store goes away.
  const second = createManifest({
    version: 3,
    routes: plainRoutes,
    tenants: createTenants([KEPT_KEY, REVOKED_KEY], 200_000),
  });
  system.note(`manifest 3 acked at row version ${store.put("op", "config", second)}`);
  await serveFor(500);
  if (HAS_TROUBLE) {
    system.note(`the store goes away at version ${store.version}`);
    store.goAway();
    await serveFor(AWAY_MILLIS);
    system.note(`the store is back: ${JSON.stringify(store.restore())}`);
  }
  await serveFor(NEXT_MANIFEST_MILLIS);
  const third = createManifest({
    version: 4,
    routes: [
      createRoute("lookup", { service: "spare-app" }),
      plainRoutes[1],
    ],
    tenants: createTenants([KEPT_KEY], 200_000),
  });
  system.note(`manifest 4 acked at row version ${store.put("op", "config", third)}`);
  await serveFor(BOUND_MILLIS);
  system.note(`the check begins at row version ${store.version}`);
  const checkedFrom = calls.length;
  const end = system.now() + CHECK_MILLIS;
  for (let count = 0; system.now() < end; count++) {
    send("lookup", count % 2 === 0 ? KEPT_KEY : REVOKED_KEY);
    await sleep(CALL_INTERVAL_MILLIS);
  }
  const ended = await Promise.all(calls);
  const checked = ended.slice(checkedFrom);
  const runs = new Map(system.listRuns().map((run) => [run.id, run]));
  const withRevokedKey = checked.filter((call) =>
    call.key === REVOKED_KEY && runs.has(call.id)
  );
  const atOldService = checked.filter((call) =>
    runs.get(call.id)?.replica.startsWith("i-ledger-app")
  );
  const statuses = {};
  for (const { status } of checked) {
    statuses[status] = (statuses[status] ?? 0) + 1;
  }
  return {
    system,
    broken: withRevokedKey.length + atOldService.length > 0,
    lines: [
      `checked requests, sent later than ${BOUND_MILLIS} ms after the ack: ${checked.length}`,
      `run with the key that was taken away: ${withRevokedKey.length}`,
      `run by the service that the route led to before: ${atOldService.length}`,
      `answers by status: ${JSON.stringify(statuses)}`,
    ],
  };
});
