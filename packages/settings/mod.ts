/** Settings of one daemon: JSON with comments, checked. */
export { parseSettings } from "./parse_settings.ts";
export type { FaceSettings, ServiceSettings, Settings } from "./settings.ts";
export { SETTINGS_SCHEMA } from "./settings.ts";
