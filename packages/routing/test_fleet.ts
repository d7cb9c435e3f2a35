/** Creates small configurations and requests for the tests of this package. */
import {
  createEmptyConfiguration,
  type FleetConfiguration,
  type LinkConfig,
  type RandomSource,
  type ServiceConfig,
  ServiceType,
  type TargetConfig,
} from "../core/mod.ts";
import type { RoutedRequest } from "./state.ts";

/** Returns a target with a capacity of ten requests. */
export function createTarget(
  id: string,
  options: Partial<TargetConfig> = {},
): TargetConfig {
  return {
    id,
    service: "engine",
    url: `http://${id}`,
    region: "addis",
    dataCentre: "addis-1",
    capacity: 10,
    ...options,
  };
}

/** Returns a service of model engines. */
export function createService(
  targets: readonly TargetConfig[],
  options: Partial<ServiceConfig> = {},
): ServiceConfig {
  return {
    id: "engine",
    type: ServiceType.ModelEngine,
    path: "/",
    checksRequestKeys: false,
    checksFencing: false,
    longestOrder: 60_000,
    retryRatio: 0.1,
    progressTimeout: 1_000,
    targets,
    ...options,
  };
}

/** Returns a configuration of one service. */
export function createFleet(
  targets: readonly TargetConfig[],
  links: readonly LinkConfig[] = [],
): FleetConfiguration {
  const service = createService(targets);
  return {
    ...createEmptyConfiguration(),
    services: new Map([[service.id, service]]),
    links,
  };
}

/** Returns a request to the service of `createService`. */
export function createRequest(
  options: Partial<RoutedRequest> = {},
): RoutedRequest {
  return {
    service: "engine",
    customer: "customer",
    digest: "digest",
    tried: [],
    ...options,
  };
}

/** Returns a seeded pseudo-random source. */
export function createRandom(seed = 1): RandomSource {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
