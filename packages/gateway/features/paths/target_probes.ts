/**
 * Probes of targets that have fallen silent or lost a connection, one at a time
 * for each target and shared by all who ask.
 */
import type { Millis, TargetId } from "../../../core/mod.ts";
import type { ConnectionProbe } from "../../../ports/mod.ts";
import type { ListedTarget } from "../../dialect.ts";
import type { TargetPaths } from "./target_paths.ts";

/** Time limit of a probe: some round trips between regions. */
const PROBE_TIMEOUT: Millis = 300;

/** Probes targets over new connections. */
export class TargetProbes {
  readonly #paths: Pick<TargetPaths, "check">;
  readonly #running = new Map<TargetId, Promise<ConnectionProbe>>();

  constructor(paths: Pick<TargetPaths, "check">) {
    this.#paths = paths;
  }

  /** Resolves to whether a target's machine accepts connections. */
  check({ id, host, port }: ListedTarget): Promise<ConnectionProbe> {
    const running = this.#running.get(id) ??
      this.#paths.check({ host, port, timeout: PROBE_TIMEOUT })
        .finally(() => this.#running.delete(id));
    this.#running.set(id, running);
    return running;
  }
}
