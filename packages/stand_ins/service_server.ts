/**
 * Stand-in of a plain service such as booking or the fuel ledger. It counts how
 * often each request key was carried out, which is how tests see a second run.
 */
import { setTimeout as pause } from "node:timers/promises";
import type { Millis } from "../core/mod.ts";
import {
  readBytes,
  type RunningServer,
  sendJson,
  startServer,
} from "./http_server.ts";

/** How the service behaves. */
export interface PlainServiceOptions {
  readonly port?: number;
  /** Time a call takes. */
  readonly callDelay?: Millis;
  /** Whether it answers a key that it has seen without running it again. */
  readonly deduplicatesByKey?: boolean;
}

/** Faults that a test can switch on, and what was run. */
export interface PlainServiceControls {
  /** Carries out the next calls and loses their answers. */
  loseAnswers(count: number): void;
  /** Stops answering without closing connections. */
  freeze(frozen: boolean): void;
  leave(): void;
  /** Returns how often each key was carried out. */
  readRuns(): ReadonlyMap<string, number>;
}

/** A running service. */
export type PlainServiceServer = RunningServer & PlainServiceControls;

/** Starts a plain service. */
export async function startPlainServer(
  options: PlainServiceOptions = {},
): Promise<PlainServiceServer> {
  const runs = new Map<string, number>();
  const state = {
    answersToLose: 0,
    frozen: false,
    leaving: false,
    runningCalls: 0,
  };
  const server = await startServer(async (request, response) => {
    if (request.url === "/load") {
      return sendJson(response, 200, {
        running: state.runningCalls,
        queued: 0,
        leaving: state.leaving,
        models: [],
      });
    }
    const body = await readBytes(request);
    if (state.frozen) return;
    state.runningCalls++;
    await pause(options.callDelay ?? 2);
    state.runningCalls--;
    const key = String(request.headers["idempotency-key"] ?? "");
    const priorRuns = runs.get(key) ?? 0;
    const isDuplicate = options.deduplicatesByKey === true && priorRuns > 0;
    if (!isDuplicate) runs.set(key, priorRuns + 1);
    if (state.answersToLose > 0) {
      state.answersToLose--;
      return void response.destroy();
    }
    sendJson(response, 200, {
      confirmation: `c-${key}`,
      bytes: body.length,
    });
  }, options.port);
  return {
    ...server,
    loseAnswers: (count) => void (state.answersToLose = count),
    freeze: (frozen) => void (state.frozen = frozen),
    leave: () => void (state.leaving = true),
    readRuns: () => new Map(runs),
  };
}
