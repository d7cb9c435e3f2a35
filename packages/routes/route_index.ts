/** Looks up routes and customers of one configuration. */
import type { ServiceId } from "../core/mod.ts";
import type {
  GatewayConfiguration,
  RouteConfig,
  RoutedCustomer,
} from "./gateway_configuration.ts";

/** An immutable index of one configuration. */
export class RouteIndex {
  readonly configuration: GatewayConfiguration;
  readonly #routes = new Map<string, Map<string, RouteConfig>>();
  readonly #customers = new Map<string, RoutedCustomer>();

  constructor(configuration: GatewayConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = normalizeHost(route.host);
      const prefixes = this.#routes.get(host) ?? new Map();
      prefixes.set(route.pathPrefix, route);
      this.#routes.set(host, prefixes);
    }
    for (const customer of configuration.customers) {
      for (const key of customer.keys) this.#customers.set(key, customer);
    }
  }

  /**
   * Returns the route of the longest prefix that begins the path. Only prefixes
   * that end at a slash of the path are tried, so the cost does not depend on
   * the number of routes.
   */
  findRoute(host: string, path: string): RouteConfig | undefined {
    const prefixes = this.#routes.get(normalizeHost(host));
    if (prefixes === undefined) return undefined;
    const plain = path.split("?", 1)[0] ?? path;
    let end = plain.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(plain.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : plain.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** Returns the customer that holds a key. */
  findCustomer(key: string): RoutedCustomer | undefined {
    return this.#customers.get(key);
  }
}

/** Chooses one of a route's services by weight, for a number from 0 to 1. */
export function chooseService(route: RouteConfig, drawn: number): ServiceId {
  const total = route.services.reduce((sum, each) => sum + each.weight, 0);
  let left = drawn * total;
  for (const { service, weight } of route.services) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.services.at(-1)!.service;
}

/** Host names compare without case, port and a final dot. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, "").replace(/\.$/, "");
}
