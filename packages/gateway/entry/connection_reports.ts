/** Creates the connections of callers, with their metrics and log lines. */
import { LogEvent } from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { CallerConnections } from "./caller_connections.ts";
import { computeMachineLimits } from "./machine_limits.ts";

/** Creates the connections of a gateway, none of which is open yet. */
export function createCallerConnections(
  context: GatewayContext,
): CallerConnections {
  const { clock, log, metrics, settings } = context;
  return new CallerConnections({
    readTime: () => clock.readMonotonic(),
    machine: computeMachineLimits(settings.machine),
    recordClosed: ({ reason, address, phase, bodyBytes, age }) => {
      metrics.callersClosed.inc({ reason });
      log.warn(LogEvent.CallerClosed, {
        reason,
        address,
        phase,
        body_bytes: bodyBytes,
        ms: Math.round(age),
      });
    },
    recordHeld: ({ size, memory }) => {
      metrics.callerConnections.set(size);
      for (const [kind, bytes] of memory.heldByKind) {
        metrics.heldBytes.set({ kind }, bytes);
      }
    },
  });
}
