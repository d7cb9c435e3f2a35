/**
 * Stand-in of a plain service, such as booking or the fuel ledger. It counts the
 * runs of each request key, so that tests can detect a second run.
 */
import { setTimeout as pause } from "node:timers/promises";
import type { Millis } from "../core/mod.ts";
import {
  readBytes,
  type RunningServer,
  sendJson,
  startServer,
} from "./http_server.ts";

/** Options of a plain service. */
export interface PlainServiceOptions {
  /** Port on the loopback interface; the kernel chooses one if absent. */
  readonly port?: number;
  /** Processing time of a call. */
  readonly callDelay?: Millis;
  /** Whether a repeated request key is answered without a second run. */
  readonly deduplicatesByKey?: boolean;
}

/** Faults that a test can inject, and the recorded runs. */
export interface PlainServiceControls {
  /** Runs the next calls but closes their connections without an answer. */
  loseAnswers(count: number): void;
  /** While frozen, runs and answers no calls, but keeps connections open. */
  freeze(frozen: boolean): void;
  /** Reports from now on that the service is leaving the fleet. */
  leave(): void;
  /** Returns the number of runs of each request key. */
  readRuns(): ReadonlyMap<string, number>;
}

/** A running plain service with its controls. */
export type PlainServiceServer = RunningServer & PlainServiceControls;

/** Starts a plain service on the loopback interface. */
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
