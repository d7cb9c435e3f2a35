/** The parts of the daemon that the execution of a request uses. */
import type { Tokens } from "../../core/mod.ts";
import type {
  ClaimHolder,
  ClaimInput,
  HolderState,
} from "../../request/mod.ts";
import type { Escrow } from "../features/escrow.ts";
import type { Traffic } from "../features/traffic.ts";
import type { NodeContext } from "../node_context.ts";
import type { CallerRequest } from "./caller_request.ts";

/** Features and functions shared by all runs. */
export interface RunDependencies {
  readonly context: NodeContext;
  readonly escrow: Escrow;
  readonly traffic: Traffic;
  /**
   * Adds the request's bill. Resolves when the store or a peer has the bill, or
   * after a time limit.
   */
  addBill(request: CallerRequest, tokens: Tokens): Promise<void>;
  /** Returns the input for claiming the request under a new attempt number. */
  createClaim(request: CallerRequest): ClaimInput;
  /** Returns whether a claim's holder may still finish the claim. */
  describeHolder(holder: ClaimHolder): HolderState;
  /** Writes an object to the object store, retrying until it succeeds. */
  putObject(
    object: { readonly key: string; readonly body: Uint8Array },
  ): Promise<void>;
  /** Returns whether the promise resolves within a short time limit. */
  waitWithTimeout(promise: Promise<unknown>): Promise<boolean>;
}
