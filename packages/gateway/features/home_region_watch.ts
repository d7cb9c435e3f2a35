/**
 * Logs home regions by which requests can be sent nowhere: names that are missing
 * from the settings, and a route and a customer that have none in common.
 */
import {
  findUnknownHomes,
  type GatewayConfiguration,
  hasKnownRegion,
  type HomeRegions,
} from "../../routes/mod.ts";
import { LogEvent } from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";

/** Maximum number of names of each kind in one line. */
const MAX_NAMES = 10;

const REMEDY =
  "correct the regions in the configuration, or name the region of its data centres in the settings";

/** A request that was refused for its home regions. */
export interface ConfinedRequest {
  readonly route: { readonly id: string };
  readonly customer: { readonly id: string } | undefined;
  readonly homeRegions: HomeRegions;
  /** Version of the configuration by which it was refused. */
  readonly configurationVersion: number;
}

/** Logs unusable home regions once for each configuration. */
export class HomeRegionWatch {
  readonly #context: Pick<GatewayContext, "log" | "settings">;
  /** Version for which a line was logged. */
  #loggedVersion: number | undefined;

  constructor(context: Pick<GatewayContext, "log" | "settings">) {
    this.#context = context;
  }

  /** Logs the routes and customers all of whose home regions are unknown. */
  applyConfiguration(configuration: GatewayConfiguration): void {
    const unknown = findUnknownHomes(configuration, this.#readKnown());
    if (unknown === undefined) return;
    this.#loggedVersion = configuration.version;
    this.#context.log.error(LogEvent.HomeRegionsUnusable, {
      version: configuration.version,
      routes: formatNames(unknown.routes),
      customers: formatNames(unknown.customers),
      regions: formatNames(unknown.regions),
      remedy: REMEDY,
    });
  }

  /**
   * Logs the first request of a configuration whose route and customer have no
   * known home region in common.
   */
  recordRefused(request: ConfinedRequest): void {
    const { route, customer, homeRegions, configurationVersion } = request;
    if (this.#loggedVersion === configurationVersion) return;
    if (hasKnownRegion(homeRegions, this.#readKnown())) return;
    this.#loggedVersion = configurationVersion;
    this.#context.log.error(LogEvent.HomeRegionsUnusable, {
      version: configurationVersion,
      routes: route.id,
      customers: customer?.id,
      regions: formatNames([...homeRegions]) ?? "none in common",
      remedy: REMEDY,
    });
  }

  #readKnown(): ReadonlySet<string> {
    return new Set(Object.values(this.#context.settings.regions));
  }
}

function formatNames(names: readonly string[]): string | undefined {
  if (names.length === 0) return undefined;
  const rest = names.length - MAX_NAMES;
  const listed = names.slice(0, MAX_NAMES).join(",");
  return rest > 0 ? `${listed} and ${rest} more` : listed;
}
