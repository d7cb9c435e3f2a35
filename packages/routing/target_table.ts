/**
 * The table of targets. Records are immutable and are replaced one at a time, so
 * the cost of an update does not depend on the number of targets.
 */
import type { RegionId, ServiceId, TargetId } from "../core/mod.ts";
import type { TargetState } from "./target_state.ts";

/** The records of all targets, indexed by id and by service and region. */
export class TargetTable {
  readonly #records = new Map<TargetId, TargetState>();
  readonly #idsByService = new Map<ServiceId, Map<RegionId, TargetId[]>>();
  readonly #othersSum = new Map<ServiceId, number>();
  readonly #reportCount = new Map<ServiceId, number>();

  /** Number of targets. */
  get size(): number {
    return this.#records.size;
  }

  /** Returns the record of a target, or undefined if it is unknown. */
  get(id: TargetId): TargetState | undefined {
    return this.#records.get(id);
  }

  /** Returns every record. */
  values(): IterableIterator<TargetState> {
    return this.#records.values();
  }

  /** Returns the ids of a service's targets in one region. */
  listIdsInRegion(service: ServiceId, region: RegionId): readonly TargetId[] {
    return this.#idsByService.get(service)?.get(region) ?? [];
  }

  /** Returns the regions in which a service has targets. */
  listRegions(service: ServiceId): readonly RegionId[] {
    return [...this.#idsByService.get(service)?.keys() ?? []];
  }

  /** Returns the records of a service's targets. */
  listService(service: ServiceId): readonly TargetState[] {
    const ids = [...this.#idsByService.get(service)?.values() ?? []].flat();
    return ids.map((id) => this.#records.get(id)!);
  }

  /**
   * Returns the mean number of other VMs' attempts in flight, over the targets
   * of a service that have a report; 0 if none has one.
   */
  computeMeanOthersInFlight(service: ServiceId): number {
    const count = this.#reportCount.get(service) ?? 0;
    if (count === 0) return 0;
    return (this.#othersSum.get(service) ?? 0) / count;
  }

  /** Adds a record, or replaces the existing one of the same target. */
  put(record: TargetState): void {
    const existing = this.#records.get(record.config.id);
    if (existing !== undefined && hasMoved(existing, record)) {
      this.remove(record.config.id);
    }
    const added = !this.#records.has(record.config.id);
    if (!added) this.#updateReportSums(existing!, -1);
    this.#records.set(record.config.id, record);
    this.#updateReportSums(record, 1);
    if (added) this.#indexId(record);
  }

  /** Removes a target. */
  remove(id: TargetId): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#records.delete(id);
    this.#updateReportSums(record, -1);
    const { service, region } = record.config;
    const regions = this.#idsByService.get(service)!;
    const rest = regions.get(region)!.filter((each) => each !== id);
    if (rest.length > 0) regions.set(region, rest);
    else regions.delete(region);
  }

  #indexId(record: TargetState): void {
    const { id, service, region } = record.config;
    const regions = this.#idsByService.get(service) ??
      new Map<RegionId, TargetId[]>();
    this.#idsByService.set(service, regions);
    const ids = regions.get(region) ?? [];
    regions.set(region, ids);
    ids.push(id);
  }

  /** Adds a record's report to the sums of its service, or subtracts it. */
  #updateReportSums(record: TargetState, sign: 1 | -1): void {
    if (record.report === undefined) return;
    const { service } = record.config;
    const sum = this.#othersSum.get(service) ?? 0;
    const count = this.#reportCount.get(service) ?? 0;
    this.#othersSum.set(
      service,
      sum + sign * readReportedOthersInFlight(record),
    );
    this.#reportCount.set(service, count + sign);
  }
}

/**
 * Returns the smoothed number of other VMs' attempts in flight at a target; 0
 * without a report.
 */
export function readReportedOthersInFlight(record: TargetState): number {
  return record.report?.othersInFlight ?? 0;
}

function hasMoved(left: TargetState, right: TargetState): boolean {
  return left.config.service !== right.config.service ||
    left.config.region !== right.config.region;
}
