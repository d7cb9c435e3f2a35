/** The platform's object store: whole objects by key, put once or replaced. */
import type { Either } from "purify-ts";
import type { PlatformError } from "../core/mod.ts";

/** Reads and writes whole objects. Calls never throw. */
export interface ObjectPort {
  /** Returns the object, or undefined when there is none. */
  get(key: string): Promise<Either<PlatformError, Uint8Array | undefined>>;
  /** Stores the object; storing the same bytes again has no further effect. */
  put(key: string, body: Uint8Array): Promise<Either<PlatformError, void>>;
}
