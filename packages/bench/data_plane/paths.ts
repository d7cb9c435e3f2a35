/** The ways a request can take, each with its servers on threads. */
import type { LoadTarget } from "./load_generator.ts";
import { Role, type RoleThread, startRole } from "./role_thread.ts";

/** One way from the load generator to the target. */
export interface LoadPath {
  readonly name: string;
  /** Thread in the middle; absent where there is none. */
  readonly middle?: RoleThread;
  /** Returns the load of plain calls. */
  readonly createCalls: () => LoadTarget;
  /** Returns the load of streams with so many chunks and pauses in ms. */
  readonly createStreams: (chunks: number, pause: number) => LoadTarget;
}

/** All paths of one run. */
export interface LoadPaths {
  readonly list: readonly LoadPath[];
  stop(): Promise<void>;
}

/** Name of the baseline. */
export const PASS_THROUGH = "pass-through";

/** Name of the path through the daemon. */
export const ENTRY = "entry";

/** Starts target, pass-through and entry. */
export async function startPaths(): Promise<LoadPaths> {
  const target = await startRole({ role: Role.Target, targetUrl: "" });
  const middle = await startRole({
    role: Role.PassThrough,
    targetUrl: target.url,
  });
  return {
    list: [
      createBarePath("direct", target.url),
      { ...createBarePath(PASS_THROUGH, middle.url), middle },
    ],
    stop: async () => {
      await middle.stop();
      await target.stop();
    },
  };
}

/** Returns the body of a chat request that orders a stream from the target. */
export function createStreamBody(chunks: number, pause: number): string {
  const content = `Please write it. chunks=${chunks} pause=${pause}`;
  return JSON.stringify({
    model: "m",
    stream: true,
    messages: [{ role: "user", content }],
  });
}

/** Body of a small plain call. */
export const CALL_BODY = JSON.stringify({ depot: "kosice", litres: 120 });

function createBarePath(name: string, url: string): LoadPath {
  return {
    name,
    createCalls: () => ({ url, headers: {}, createBody: () => CALL_BODY }),
    createStreams: (chunks, pause) => {
      const body = createStreamBody(chunks, pause);
      return { url, headers: {}, createBody: () => body };
    },
  };
}
