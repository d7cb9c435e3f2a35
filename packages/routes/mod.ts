/** Routes, services and customers of one configuration, and their look-up. */
export type {
  CallerLimits,
  EngineConfig,
  RouteConfig,
  RouteConfiguration,
  RoutedCustomer,
  RoutedService,
  ServiceShare,
} from "./route_configuration.ts";
export { AnswerForm } from "./route_configuration.ts";
export { chooseService, RouteIndex } from "./route_index.ts";
