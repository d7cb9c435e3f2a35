/**
 * Limits on one customer: requests and tokens per second and requests at once.
 * Each VM enforces its share of the fleet-wide limit.
 */
import { type Either, Left, Right } from "purify-ts";
import type {
  CustomerLimits,
  Millis,
  MonotonicTime,
  Tokens,
} from "../../core/mod.ts";
import { type BucketLimit, TokenBucket } from "../token_bucket.ts";

/** Seconds of a rate that may be used in one burst. */
const BURST_SECONDS = 1;

/** Wait that is suggested when too many requests are open. */
const CONCURRENT_RETRY_AFTER: Millis = 1_000;

/** Which limit is used up, and for how long. */
export interface LimitReached {
  readonly limit: "requests" | "tokens" | "concurrent";
  readonly retryAfter: Millis;
}

/** What one customer uses on this VM. */
export class CustomerUsage {
  readonly #requests: TokenBucket;
  readonly #tokens: TokenBucket;
  #maxOpen: number;
  #open = 0;

  constructor(limits: CustomerLimits, now: MonotonicTime) {
    this.#requests = new TokenBucket(
      createBucketLimit(limits.requestsPerSecond),
      now,
    );
    this.#tokens = new TokenBucket(
      createBucketLimit(limits.tokensPerSecond),
      now,
    );
    this.#maxOpen = limits.concurrentRequests;
  }

  /** Number of requests that are let in and not finished. */
  get open(): number {
    return this.#open;
  }

  /** Enforces a share of fleet-wide limits from now on; at least one request. */
  changeLimits(
    limits: CustomerLimits,
    options: { readonly share: number; readonly now: MonotonicTime },
  ): void {
    const { share, now } = options;
    const requests = createBucketLimit(limits.requestsPerSecond * share);
    this.#requests.changeLimit(requests, now);
    this.#tokens.changeLimit(
      createBucketLimit(limits.tokensPerSecond * share),
      now,
    );
    this.#maxOpen = Math.max(1, Math.ceil(limits.concurrentRequests * share));
  }

  /** Lets a request in, or says which limit is used up. */
  admit(tokens: Tokens, now: MonotonicTime): Either<LimitReached, void> {
    const reached = this.#findReached(now);
    if (reached !== undefined) return Left(reached);
    this.#open++;
    this.#requests.take(1, now);
    this.#tokens.take(tokens, now);
    return Right(undefined);
  }

  /** Counts a request out; tokens it did not use come back, more are owed. */
  settle(
    usage: { readonly expected: Tokens; readonly used: Tokens },
    now: MonotonicTime,
  ): void {
    this.#open--;
    this.#tokens.take(usage.used - usage.expected, now);
  }

  #findReached(now: MonotonicTime): LimitReached | undefined {
    if (this.#open >= this.#maxOpen) {
      return { limit: "concurrent", retryAfter: CONCURRENT_RETRY_AFTER };
    }
    const requestWait = this.#requests.computeWait(1, now);
    if (requestWait > 0) return { limit: "requests", retryAfter: requestWait };
    // Any tokens left will do: the estimate may be far too high, and a
    // settlement takes the level below zero when it was too low.
    const tokenWait = this.#tokens.computeWait(1, now);
    if (tokenWait > 0) return { limit: "tokens", retryAfter: tokenWait };
    return undefined;
  }
}

function createBucketLimit(perSecond: number): BucketLimit {
  return { perSecond, depth: Math.max(1, perSecond * BURST_SECONDS) };
}
