/** The configuration of a gateway and an index of its routes and customers. */
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
