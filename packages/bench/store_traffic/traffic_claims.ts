/** Claims for calls that must not be repeated, in virtual time. */
import type { Millis } from "../../core/mod.ts";
import {
  type ClaimInput,
  ClaimState,
  createFinishClaim,
  createTakeClaim,
} from "../../request/mod.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";
import type { StoreClient } from "./store_client.ts";

/** Longest time that a call waits for its claim. */
const CLAIM_DEADLINE: Millis = 10_000;

const ANSWER = {
  status: 200,
  contentType: "application/json",
  bodyBase64: Buffer.from('{"confirmation":"c-1"}').toString("base64"),
};

/** Takes and finishes the claims of one VM. */
export class TrafficClaims {
  readonly #clock: VirtualClock;
  readonly #storeClient: StoreClient;
  readonly #vm: string;

  constructor(
    vm: string,
    input: { readonly clock: VirtualClock; readonly storeClient: StoreClient },
  ) {
    this.#vm = vm;
    this.#clock = input.clock;
    this.#storeClient = input.storeClient;
  }

  /** Takes a claim and returns whether that succeeded before the deadline. */
  async take(requestKey: string): Promise<boolean> {
    const giveUpAt = this.#clock.readMonotonic() + CLAIM_DEADLINE;
    const operation = createTakeClaim(this.#createClaim(requestKey));
    const answer = await this.#storeClient.run(operation, { giveUpAt });
    const taken = answer.map((result) => result.state === ClaimState.Taken)
      .orDefault(false);
    return taken && this.#clock.readMonotonic() < giveUpAt;
  }

  /** Finishes the claim of a call that ran. */
  async finish(requestKey: string): Promise<void> {
    const operation = createFinishClaim(this.#createClaim(requestKey), {
      state: "ran",
      answer: ANSWER,
      tokens: 10,
    });
    await this.#storeClient.run(operation, { giveUpAt: Infinity });
  }

  #createClaim(requestKey: string): ClaimInput {
    return {
      customer: "customer",
      requestKey,
      digest: "0".repeat(64),
      vm: this.#vm,
      incarnation: "1",
      attempt: 1,
      wallTime: 0,
    };
  }
}
