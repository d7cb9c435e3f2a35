/**
 * Bytes sent over the narrow links between regions, counted and limited. Each
 * VM keeps to its share of a link, so that the sum of all stays below it
 * without talk between them.
 */
import {
  type Bytes,
  type LinkConfig,
  type MonotonicTime,
  Priority,
  type RegionId,
} from "../core/mod.ts";
import { type BucketLimit, TokenBucket } from "./token_bucket.ts";

/** Part of a link that requests may fill; the rest is for the fleet's own talk. */
const REQUEST_SHARE = 0.8;

/** Seconds of a VM's share that may be sent in one burst. */
const BURST_SECONDS = 2;

/** Part of the burst that a priority leaves to those before it. */
const RESERVED_FRACTION: Readonly<Record<Priority, number>> = {
  [Priority.Safety]: 0,
  [Priority.Interactive]: 0.1,
  [Priority.Standard]: 0.3,
  [Priority.Bulk]: 0.6,
};

interface Link {
  readonly config: LinkConfig;
  readonly limit: BucketLimit;
  readonly bucket: TokenBucket;
  bytes: Bytes;
}

/** What one link carried for this VM. */
export interface LinkUsage {
  readonly region: RegionId;
  readonly bytes: Bytes;
}

/** The links from this VM's region to others. */
export class LinkTable {
  readonly #links = new Map<RegionId, Link>();

  /** Takes over the configured links; counts are kept. */
  change(
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

  /** Returns whether a request may still be sent to a region. */
  hasRoom(
    region: RegionId,
    options: { readonly priority: Priority; readonly now: MonotonicTime },
  ): boolean {
    const link = this.#links.get(region);
    if (link === undefined) return true;
    const reserved = link.limit.depth * RESERVED_FRACTION[options.priority];
    return link.bucket.readLevel(options.now) > reserved;
  }

  /** Counts bytes to or from a region; a settlement may be negative. */
  take(region: RegionId, bytes: Bytes, now: MonotonicTime): void {
    const link = this.#links.get(region);
    if (link === undefined) return;
    link.bytes += bytes;
    link.bucket.take(bytes, now);
  }

  /** Returns what each link has carried. */
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
