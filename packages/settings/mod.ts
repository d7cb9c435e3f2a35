/** Schemas and parsers of the settings files of daemons and gateways. */
export type { GatewaySettings } from "./gateway_settings.ts";
export { GATEWAY_SCHEMA } from "./gateway_settings.ts";
export { parseGatewaySettings, parseSettings } from "./parse_settings.ts";
export type { MergedSettings } from "./running_settings.ts";
export {
  computeSettingsDigest,
  mergeRunningSettings,
} from "./running_settings.ts";
export type { ServerSettings, ServiceSettings, Settings } from "./settings.ts";
export { SETTINGS_SCHEMA } from "./settings.ts";
