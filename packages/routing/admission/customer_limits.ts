/**
 * Limits of one customer: requests per second, tokens per second and concurrent
 * requests. Each VM enforces its share of the fleet-wide limits.
 */
import { type Either, Left, Right } from "purify-ts";
import type {
  CustomerLimits,
  Millis,
  MonotonicTime,
  Tokens,
} from "../../core/mod.ts";
import { type BucketLimit, TokenBucket } from "../token_bucket.ts";

/** Burst size of a rate limit, in seconds of its rate. */
const BURST_SECONDS = 1;

/** Suggested retry delay when the limit on concurrent requests is reached. */
const CONCURRENT_RETRY_AFTER: Millis = 1_000;

/** The limit that is reached, and the suggested retry delay. */
export interface LimitReached {
  readonly limit: "requests" | "tokens" | "concurrent";
  readonly retryAfter: Millis;
}

/** Usage of one customer on this VM, checked against its limits. */
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

  /** Number of requests that are admitted and not finished. */
  get open(): number {
    return this.#open;
  }

  /**
   * Enforces a share of the fleet-wide limits from now on. At least one
   * concurrent request stays allowed.
   */
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

  /** Admits a request, or returns the limit that is reached. */
  admit(tokens: Tokens, now: MonotonicTime): Either<LimitReached, void> {
    const reached = this.#findReached(now);
    if (reached !== undefined) return Left(reached);
    this.#open++;
    this.#requests.take(1, now);
    this.#tokens.take(tokens, now);
    return Right(undefined);
  }

  /**
   * Releases a finished request and corrects its estimate: unused tokens are
   * returned to the bucket, and tokens beyond the estimate are taken from it.
   */
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
    // One available token is enough: the estimate may be far too high, and if it
    // was too low, the settlement takes the level below zero.
    const tokenWait = this.#tokens.computeWait(1, now);
    if (tokenWait > 0) return { limit: "tokens", retryAfter: tokenWait };
    return undefined;
  }
}

function createBucketLimit(perSecond: number): BucketLimit {
  return { perSecond, depth: Math.max(1, perSecond * BURST_SECONDS) };
}
