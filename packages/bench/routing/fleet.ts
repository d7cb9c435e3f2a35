/**
 * Simulates a fleet in virtual time: entry VMs, engines and plain services in
 * two regions, sized like the fleets of the two organizations.
 */
import {
  type Bytes,
  createEmptyConfiguration,
  type FleetConfiguration,
  type LinkConfig,
  type Millis,
  MILLIS_PER_SECOND,
  type ServiceConfig,
  ServiceType,
  type TargetConfig,
} from "../../core/mod.ts";
import { SMALL_ENGINE } from "../harness/fake_engine.ts";
import { FakeLink } from "../harness/fake_link.ts";
import type { SeededRandom } from "../harness/random.ts";
import { VirtualClock } from "../harness/virtual_clock.ts";
import type { Arrival } from "../harness/workload.ts";
import { EntryVm, PROGRESS_TIMEOUT, type SentRequest } from "./entry_vm.ts";
import { Outcomes } from "./outcomes.ts";
import type { RoutingPolicy } from "./policy.ts";
import { EngineReplica, PlainReplica, type Replica } from "./replica.ts";

/** Size of the fleet in each of its two regions. */
export interface FleetSize {
  readonly near: RegionSize;
  readonly far: RegionSize;
}

/** Number of entry VMs, engines and plain services in one region. */
export interface RegionSize {
  readonly vms: number;
  readonly engines: number;
  readonly plainServices: number;
}

/** Selam's fleet: two data centres in Addis, one in Dire Dawa. */
export const SELAM_FLEET: FleetSize = {
  near: { vms: 5, engines: 8, plainServices: 2 },
  far: { vms: 3, engines: 4, plainServices: 1 },
};

/** Palivoknih's fleet: two data centres in the west, one in Košice. */
export const PALIVOKNIH_FLEET: FleetSize = {
  near: { vms: 5, engines: 5, plainServices: 2 },
  far: { vms: 3, engines: 3, plainServices: 1 },
};

const LINK_BYTES_PER_SECOND: Bytes = 2_500_000;
const LINK_ONE_WAY_DELAY: Millis = 30;
/** Concurrent calls that a plain service runs. */
const PLAIN_CAPACITY = 16;

/** Size, policy and randomness of a fleet. */
export interface FleetOptions {
  readonly size: FleetSize;
  readonly policy: RoutingPolicy;
  readonly random: SeededRandom;
  /** Age of the load reports of engines; that of the engine model if absent. */
  readonly reportLag?: Millis;
}

/**
 * A simulated fleet behind a load balancer that chooses entry VMs at random.
 */
export class Fleet {
  readonly clock = new VirtualClock();
  readonly outcomes = new Outcomes();
  readonly replicas = new Map<string, Replica>();
  readonly #entryVms: EntryVm[] = [];
  readonly #links: FakeLink[] = [];
  readonly #random: SeededRandom;
  readonly #balancerRandom: SeededRandom;

  constructor(options: FleetOptions) {
    this.#random = options.random;
    this.#balancerRandom = options.random.createBranch("balancer");
    const configuration = createConfiguration(options.size);
    for (const service of configuration.services.values()) {
      for (const target of service.targets) this.#addReplica(target, options);
    }
    for (const region of ["near", "far"] as const) {
      this.#addEntryVms(region, { ...options, configuration });
    }
  }

  /**
   * Sends a request to an entry VM that the load balancer chooses at random.
   */
  send(sent: SentRequest): void {
    this.#balancerRandom.choose(this.#entryVms).receive(sent);
  }

  /** Schedules arrivals as requests that crash no target. */
  sendAll(arrivals: readonly Arrival[]): void {
    for (const arrival of arrivals) {
      this.clock.schedule(
        arrival.at,
        () => this.send({ arrival, isPoison: false }),
      );
    }
  }

  /** Returns the replicas that are engines. */
  listEngines(): Replica[] {
    return [...this.replicas.values()]
      .filter((replica) => replica.config.service === "engine");
  }

  /** Returns the digests that at least one entry VM has quarantined. */
  listQuarantined(): ReadonlySet<string> {
    return new Set(
      this.#entryVms.flatMap((each) =>
        each.listQuarantined().map((entry) => entry.digest)
      ),
    );
  }

  /** Returns the number of bytes sent between the regions. */
  readLinkBytes(): Bytes {
    return this.#links.reduce((sum, link) => sum + link.readCounts().bytes, 0);
  }

  /**
   * Returns the share of jobs with a prefix whose prefix was in the target's
   * cache.
   */
  computeHitShare(): number {
    const uses = [...this.replicas.values()].map((each) =>
      each.readCacheCounts()
    );
    const jobs = uses.reduce((sum, use) => sum + use.jobs, 0);
    const hits = uses.reduce((sum, use) => sum + use.hits, 0);
    return jobs === 0 ? 0 : hits / jobs;
  }

  #addReplica(config: TargetConfig, options: FleetOptions): void {
    const replicaOptions = {
      clock: this.clock,
      random: this.#random.createBranch(config.id),
      reportLag: options.reportLag ?? SMALL_ENGINE.reportLag,
      onCacheEvent: (prefix: string, stored: boolean) => {
        for (const each of this.#entryVms) {
          each.applyCacheEvent(config.id, prefix, stored);
        }
      },
    };
    const replica = config.service === "engine"
      ? new EngineReplica(config, replicaOptions)
      : new PlainReplica(config, replicaOptions);
    this.replicas.set(config.id, replica);
  }

  #addEntryVms(
    region: keyof FleetSize,
    options: FleetOptions & { readonly configuration: FleetConfiguration },
  ): void {
    const link = new FakeLink({
      clock: this.clock,
      oneWay: LINK_ONE_WAY_DELAY,
      bytesPerSecond: LINK_BYTES_PER_SECOND,
    });
    this.#links.push(link);
    for (let index = 0; index < options.size[region].vms; index++) {
      const vm = `${region}-vm-${index}`;
      this.#entryVms.push(
        new EntryVm({
          vm,
          region,
          clock: this.clock,
          random: this.#random.createBranch(vm),
          policy: options.policy,
          configuration: options.configuration,
          vmsInRegion: options.size[region].vms,
          replicas: this.replicas,
          outcomes: this.outcomes,
          send: (to, bytes, deliver) =>
            to === region ? deliver() : link.send(bytes, deliver),
          pushQuarantine: (entries) =>
            void this.clock.schedule(LINK_ONE_WAY_DELAY, () => {
              for (const each of this.#entryVms) each.applyQuarantine(entries);
            }),
        }),
      );
    }
  }
}

function createConfiguration(size: FleetSize): FleetConfiguration {
  const engine = createService("engine", size, ServiceType.ModelEngine);
  const plain = createService("plain", size, ServiceType.PlainService);
  const links: LinkConfig[] = [{
    from: "near",
    to: "far",
    bytesPerSecond: LINK_BYTES_PER_SECOND,
    oneWay: LINK_ONE_WAY_DELAY,
  }];
  return {
    ...createEmptyConfiguration(),
    services: new Map([[engine.id, engine], [plain.id, plain]]),
    links,
  };
}

function createService(
  id: "engine" | "plain",
  size: FleetSize,
  type: ServiceType,
): ServiceConfig {
  const regions = ["near", "far"] as const;
  const targets = regions.flatMap((region) => {
    const count = id === "engine"
      ? size[region].engines
      : size[region].plainServices;
    return Array.from({ length: count }, (_, index): TargetConfig => ({
      id: `${region}-${id}-${index}`,
      service: id,
      url: "http://target",
      region,
      dataCentre: `${region}-${index % 2}`,
      capacity: id === "engine" ? SMALL_ENGINE.maxBatch : PLAIN_CAPACITY,
    }));
  });
  return {
    id,
    type,
    path: "/",
    checksRequestKeys: false,
    checksFencing: false,
    longestOrder: 60 * MILLIS_PER_SECOND,
    retryRatio: 0.1,
    progressTimeout: PROGRESS_TIMEOUT,
    targets,
  };
}
