/**
 * Counts and limits the bytes sent over the low-bandwidth links between regions.
 * Each VM keeps to an equal share of a link, so that the sum stays below the
 * link's bandwidth without communication between VMs.
 */
import {
  type Bytes,
  type LinkConfig,
  type MonotonicTime,
  Priority,
  type RegionId,
} from "../core/mod.ts";
import { type BucketLimit, TokenBucket } from "./token_bucket.ts";

/**
 * Fraction of a link for requests; the rest is for the fleet's control traffic.
 */
const REQUEST_SHARE = 0.8;

/** Burst size, in seconds of a VM's share of a link. */
const BURST_SECONDS = 2;

/** Fraction of the burst size that each priority must leave to higher ones. */
const RESERVED_FRACTION: Readonly<Record<Priority, number>> = {
  [Priority.Safety]: 0,
  [Priority.Interactive]: 0.1,
  [Priority.Standard]: 0.3,
  [Priority.Bulk]: 0.6,
};

/** One link, its limit for this VM and the bytes counted so far. */
interface Link {
  readonly config: LinkConfig;
  readonly limit: BucketLimit;
  readonly bucket: TokenBucket;
  bytes: Bytes;
}

/** Bytes that one link has carried for this VM. */
export interface LinkUsage {
  readonly region: RegionId;
  readonly bytes: Bytes;
}

/** The links between this VM's region and others. */
export class LinkTable {
  readonly #links = new Map<RegionId, Link>();

  /** Applies the configured links; byte counts and bucket levels are kept. */
  changeLinks(
    configs: readonly LinkConfig[],
    options: {
      readonly region: RegionId;
      readonly vms: number;
      readonly now: MonotonicTime;
    },
  ): void {
    for (const config of configs) {
      const other = findOtherEnd(config, options.region);
      if (other === undefined) continue;
      const perSecond = config.bytesPerSecond * REQUEST_SHARE / options.vms;
      const limit = { perSecond, depth: perSecond * BURST_SECONDS };
      const existing = this.#links.get(other);
      const bucket = existing?.bucket ?? new TokenBucket(limit, options.now);
      bucket.changeLimit(limit, options.now);
      this.#links.set(other, {
        config,
        limit,
        bucket,
        bytes: existing?.bytes ?? 0,
      });
    }
  }

  /** Returns whether a request of a priority may be sent to a region now. */
  hasCapacity(
    region: RegionId,
    options: { readonly priority: Priority; readonly now: MonotonicTime },
  ): boolean {
    const link = this.#links.get(region);
    if (link === undefined) return true;
    const reserved = link.limit.depth * RESERVED_FRACTION[options.priority];
    return link.bucket.readLevel(options.now) > reserved;
  }

  /** Counts bytes to or from a region; negative to reduce an estimate. */
  take(region: RegionId, bytes: Bytes, now: MonotonicTime): void {
    const link = this.#links.get(region);
    if (link === undefined) return;
    link.bytes += bytes;
    link.bucket.take(bytes, now);
  }

  /** Returns the bytes that each link has carried. */
  listUsage(): LinkUsage[] {
    return [...this.#links].map(([region, { bytes }]) => ({ region, bytes }));
  }
}

function findOtherEnd(
  config: LinkConfig,
  region: RegionId,
): RegionId | undefined {
  if (config.from === region) return config.to;
  if (config.to === region) return config.from;
  return undefined;
}
