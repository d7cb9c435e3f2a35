/**
 * The store comes back from a copy four seconds old while streams use up one
 * tenant's prepaid tokens. Counts what the tenant got.
 */
import { createManifest, HAS_TROUBLE, runCase, sleep } from "../lib/system.mjs";
import { EVENT_TOKENS } from "../lib/system.mjs";

const KEY = "key-of-tours";
const PREPAID = 120_000;
const PROMPT = 400;
const OUTPUT = 40;
const CALL_INTERVAL_MILLIS = 35;

const COPY_AT = 6_000;
const AWAY_AT = COPY_AT + 4_000;
const BACK_AT = AWAY_AT + 1_000;
const MAX_MILLIS = 60_000;

await runCase(import.meta.url, async (start) => {
  const system = await start({
    manifest: createManifest({
      version: 1,
      tenants: [{ name: "tours", apiKeys: [KEY], prepaid: PREPAID }],
    }),
  });
  const { store, gateways } = system;
  await sleep(2_000);
  const startedAt = system.now();
  const elapsed = () => system.now() - startedAt;
  const steps = HAS_TROUBLE
    ? [
      [COPY_AT, () => system.note(`the copy is made at version ${store.copy()}`)],
      [AWAY_AT, () => {
        system.note(`the store goes away at version ${store.version}`);
        store.goAway();
      }],
      [BACK_AT, () => {
        system.note(`the store is back: ${JSON.stringify(store.restore())}`);
      }],
    ]
    : [];
  const calls = [];
  let spentSince;
  while (elapsed() < MAX_MILLIS) {
    while (steps.length > 0 && elapsed() >= steps[0][0]) steps.shift()[1]();
    const gateway = gateways[calls.length % gateways.length];
    calls.push(
      system.call(gateway, {
        route: "flag",
        key: KEY,
        prompt: PROMPT,
        output: OUTPUT,
      }),
    );
    await sleep(CALL_INTERVAL_MILLIS);
    // Ends once all gateways have refused for want of budget for a while.
    const recent = system.calls.slice(-90).filter((call) =>
      call.endedAt !== undefined
    );
    const areAllSpent = elapsed() > BACK_AT + 5_000 && recent.length > 60 &&
      recent.every((call) => call.status === 402);
    spentSince = areAllSpent ? spentSince ?? elapsed() : undefined;
    if (spentSince !== undefined && elapsed() - spentSince > 3_000) break;
  }
  const ended = await Promise.all(calls);
  const ran = new Set(system.listRuns().map((run) => run.id));
  const prompts = ended.filter((call) => ran.has(call.id)).length * PROMPT;
  const events = ended.reduce((sum, call) => sum + call.events, 0);
  const used = prompts + events * EVENT_TOKENS;
  const statuses = {};
  for (const { status } of ended) statuses[status] = (statuses[status] ?? 0) + 1;
  system.note(`budget row: ${JSON.stringify(store.read("budget", "tours", "tours"))}`);
  return {
    system,
    broken: used > PREPAID,
    lines: [
      `prepaid: ${PREPAID} tokens`,
      `used: ${used} tokens (${prompts} of prompts, ${events * EVENT_TOKENS} delivered)`,
      `answers by status: ${JSON.stringify(statuses)}`,
    ],
  };
});
