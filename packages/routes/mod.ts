/** Routes, services and customers of one configuration, and their look-up. */
export type {
  CallerLimits,
  EngineFacts,
  GatewayConfiguration,
  RouteConfig,
  RoutedCustomer,
  RoutedService,
  ServiceShare,
} from "./gateway_configuration.ts";
export { AnswerForm } from "./gateway_configuration.ts";
export { chooseService, RouteIndex } from "./route_index.ts";
