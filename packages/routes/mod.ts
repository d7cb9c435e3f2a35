/** The configuration of a gateway and an index of its routes and customers. */
export type {
  CallerLimits,
  EngineConfig,
  GatewayConfiguration,
  RouteConfig,
  RoutedCustomer,
  RoutedService,
  ServiceShare,
} from "./gateway_configuration.ts";
export { AnswerForm } from "./gateway_configuration.ts";
export type { UnknownHomes } from "./find_unknown_homes.ts";
export { findUnknownHomes, hasKnownRegion } from "./find_unknown_homes.ts";
export type { HomeRegions } from "./home_regions.ts";
export {
  combineHomeRegions,
  createHomeRegions,
  isAllowedRegion,
} from "./home_regions.ts";
export {
  chooseService,
  hasService,
  isSplit,
  RouteIndex,
} from "./route_index.ts";
