/**
 * Connects over a path that may be slow or lose packets: starts another attempt
 * at each interval while the earlier ones go on, and takes the first that
 * succeeds. A slow path has the whole limit, and a path that works again after
 * an interruption is used within one interval.
 */
import type { Socket } from "node:net";
import type { Millis } from "../core/mod.ts";

/** How to connect. */
export interface ConnectPlan {
  /** Starts one attempt. */
  readonly connect: () => Socket;
  /** Time between the starts of two attempts. */
  readonly interval: Millis;
  /** Time after which all attempts are given up. */
  readonly limit: Millis;
}

/** Receives the end of {@link startConnecting}; called once. */
export interface ConnectResult {
  /** Called with a connected socket and the time that its attempt took. */
  onConnected(socket: Socket, duration: Millis): void;
  /** Called when the server has refused the connection. */
  onRefused(error: Error): void;
  /** Called when the limit has passed. */
  onTimeout(error: Error): void;
}

/** Starts to connect; the result is reported in the same turn as the event. */
export function startConnecting(
  plan: ConnectPlan,
  result: ConnectResult,
): void {
  const attempts = new Set<Socket>();
  const finish = (winner?: Socket) => {
    clearInterval(repeatTimer);
    clearTimeout(limitTimer);
    for (const socket of attempts) {
      if (socket !== winner) socket.destroy();
    }
    attempts.clear();
  };
  const startAttempt = () => {
    const startedAt = performance.now();
    const socket = plan.connect();
    attempts.add(socket);
    // Stays after the end: an error must not crash the process.
    socket.on("error", (error) => {
      if (!attempts.has(socket)) return;
      finish();
      result.onRefused(error);
    });
    socket.once("connect", () => {
      if (!attempts.has(socket)) return;
      finish(socket);
      result.onConnected(socket, performance.now() - startedAt);
    });
  };
  const repeatTimer = setInterval(startAttempt, plan.interval);
  const limitTimer = setTimeout(() => {
    finish();
    result.onTimeout(
      new Error(`could not connect within ${Math.round(plan.limit)} ms`),
    );
  }, plan.limit);
  startAttempt();
}
