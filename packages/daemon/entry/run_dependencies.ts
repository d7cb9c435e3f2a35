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
  /** Adds the request's bill. Resolves once it is durable or a time limit is over. */
  addBill(request: CallerRequest, tokens: Tokens): Promise<void>;
  /** Returns the input for claiming the request under a new attempt number. */
  createClaim(request: CallerRequest): ClaimInput;
  /** Returns the state of a claim's holder: whether it may still finish it. */
  describeHolder(holder: ClaimHolder): HolderState;
  /** Writes an object to the object store, retrying until it succeeds. */
  putObject(
    object: { readonly key: string; readonly body: Uint8Array },
  ): Promise<void>;
  /** Resolves to true if the promise resolves within a short time, else false. */
  waitWithTimeout(promise: Promise<unknown>): Promise<boolean>;
}
