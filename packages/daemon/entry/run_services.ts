/** What the run of a request uses of the daemon. */
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

/** Features and functions that runs share. */
export interface RunServices {
  readonly context: NodeContext;
  readonly escrow: Escrow;
  readonly traffic: Traffic;
  /** Adds the request's bill; resolves when it is durable or after a bounded wait. */
  addBill(request: CallerRequest, tokens: Tokens): Promise<void>;
  /** Returns a claim of the request by a new attempt of this VM. */
  createClaim(request: CallerRequest): ClaimInput;
  /** Says whether the attempt that holds a claim may still finish it. */
  describeHolder(holder: ClaimHolder): HolderState;
  /** Stores an object, trying again until it is stored. */
  putObject(
    object: { readonly key: string; readonly body: Uint8Array },
  ): Promise<void>;
  /** Resolves true when the promise does within a short bound, else false. */
  waitBriefly(promise: Promise<unknown>): Promise<boolean>;
}
