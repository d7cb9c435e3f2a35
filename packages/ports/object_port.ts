/** Port of the platform's object store, which stores objects by key. */
import type { Either } from "purify-ts";
import type { PlatformError } from "../core/mod.ts";

/** Reads and writes complete objects. Calls return errors and never throw. */
export interface ObjectPort {
  /** Returns the object, or undefined when there is none. */
  get(key: string): Promise<Either<PlatformError, Uint8Array | undefined>>;
  /** Creates or replaces an object; repeating a call has no effect. */
  put(key: string, body: Uint8Array): Promise<Either<PlatformError, void>>;
}
