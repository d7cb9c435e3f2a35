/** Finds routes by host and path and customers by key, and selects services. */
import type { CustomerId, ServiceId } from "../core/mod.ts";
import type {
  GatewayConfiguration,
  RouteConfig,
  RoutedCustomer,
} from "./gateway_configuration.ts";
import { combineHomeRegions, type HomeRegions } from "./home_regions.ts";

/** An immutable index of the routes and customers of one configuration. */
export class RouteIndex {
  readonly configuration: GatewayConfiguration;
  readonly #routes = new Map<string, Map<string, RouteConfig>>();
  readonly #customers = new Map<string, RoutedCustomer>();
  /** Home regions of the routes and customers that have any, by their ids. */
  readonly #routeHomes = new Map<string, HomeRegions>();
  readonly #customerHomes = new Map<CustomerId, HomeRegions>();

  constructor(configuration: GatewayConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = normalizeHost(route.host);
      const prefixes = this.#routes.get(host) ?? new Map();
      prefixes.set(route.pathPrefix, route);
      this.#routes.set(host, prefixes);
      addHomeRegions(this.#routeHomes, route);
    }
    for (const customer of configuration.customers) {
      for (const key of customer.keys) this.#customers.set(key, customer);
      addHomeRegions(this.#customerHomes, customer);
    }
  }

  /**
   * Returns the route of the host with the longest path prefix that matches. A
   * prefix is looked up for each slash in the path, longest first, so the cost
   * does not depend on the number of routes.
   */
  findRoute(host: string, path: string): RouteConfig | undefined {
    const prefixes = this.#routes.get(normalizeHost(host));
    if (prefixes === undefined) return undefined;
    const pathname = path.split("?", 1)[0] ?? path;
    let end = pathname.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(pathname.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : pathname.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** Returns the customer that a key belongs to. */
  findCustomer(key: string): RoutedCustomer | undefined {
    return this.#customers.get(key);
  }

  /** Whether any route or customer has home regions. */
  get hasHomeRegions(): boolean {
    return this.#routeHomes.size > 0 || this.#customerHomes.size > 0;
  }

  /**
   * Returns the home regions of a route and a customer by their ids; those that
   * are not in this configuration have none.
   */
  findHomeRegions(
    ids: {
      readonly route: string;
      readonly customer: CustomerId | undefined;
    },
  ): HomeRegions | undefined {
    if (!this.hasHomeRegions) return undefined;
    const { route, customer } = ids;
    return combineHomeRegions(
      this.#routeHomes.get(route),
      customer === undefined ? undefined : this.#customerHomes.get(customer),
    );
  }
}

/** Adds home regions; those of two routes or customers with one id all apply. */
function addHomeRegions(
  table: Map<string, HomeRegions>,
  { id, homeRegions }: Pick<RouteConfig, "id" | "homeRegions">,
): void {
  const homes = combineHomeRegions(table.get(id), homeRegions);
  if (homes !== undefined) table.set(id, homes);
}

/**
 * Selects a service of a route at random by weight.
 *
 * @param random A random number that is at least 0 and less than 1.
 */
export function chooseService(route: RouteConfig, random: number): ServiceId {
  const totalWeight = route.services.reduce(
    (sum, each) => sum + each.weight,
    0,
  );
  let remainingWeight = random * totalWeight;
  for (const { service, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return route.services.at(-1)!.service;
}

/** Whether a route sends requests to a service. */
export function hasService(route: RouteConfig, service: ServiceId): boolean {
  return route.services
    .some((each) => each.service === service && each.weight > 0);
}

/** Whether a route splits its requests among several services. */
export function isSplit(route: RouteConfig): boolean {
  return route.services.filter((each) => each.weight > 0).length > 1;
}

/** Returns a host name in lower case, without its port and trailing dot. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, "").replace(/\.$/, "");
}
