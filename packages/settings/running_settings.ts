/**
 * Decides what of a changed settings file a running gateway takes over, and
 * makes settings of different VMs comparable.
 */
import { createHash } from "node:crypto";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Settings that a process binds or announces at its start. */
const START_SETTINGS = [
  "vm",
  "dataCentre",
  "callers",
  "readiness",
  "operators",
  "peers",
] as const satisfies readonly (keyof GatewaySettings)[];

/** Settings that may differ between VMs and are changed while one runs. */
const MACHINE_SETTINGS: readonly string[] = [
  "machine",
] satisfies (keyof GatewaySettings)[];

/** Number of hexadecimal digits of a digest. */
const DIGEST_LENGTH = 12;

/** What a running gateway takes over of changed settings. */
export interface MergedSettings {
  /** The changed settings, with the old values of what needs a restart. */
  readonly settings: GatewaySettings;
  /** Names of the settings that were changed and are in effect. */
  readonly changed: readonly string[];
  /** Names of the settings that were changed and need a restart. */
  readonly refused: readonly string[];
}

/** Merges changed settings into those of a running gateway. */
export function mergeRunningSettings(
  running: GatewaySettings,
  changed: GatewaySettings,
): MergedSettings {
  const settings: GatewaySettings = {
    ...changed,
    store: { ...changed.store, address: running.store.address },
  };
  const refused: string[] = START_SETTINGS.filter((name) =>
    running[name] !== changed[name]
  );
  for (const name of START_SETTINGS) copySetting(running, settings, name);
  if (running.store.address !== changed.store.address) {
    refused.push("store.address");
  }
  // A setting that was removed is one of the running ones alone.
  const names = Object.keys(
    { ...settings, ...running },
  ) as (keyof GatewaySettings)[];
  return {
    settings,
    changed: names.filter((name) =>
      formatCanonical(settings[name]) !== formatCanonical(running[name])
    ),
    refused,
  };
}

/**
 * Returns a digest of the settings that all VMs should have in common. VMs with
 * the same digest follow the same settings.
 */
export function computeSettingsDigest(settings: GatewaySettings): string {
  const own: readonly string[] = [...START_SETTINGS, ...MACHINE_SETTINGS];
  const shared = Object.entries(settings).filter(([name]) =>
    !own.includes(name)
  );
  return createHash("sha256").update(formatCanonical(shared)).digest("hex")
    .slice(0, DIGEST_LENGTH);
}

function copySetting<Name extends keyof GatewaySettings>(
  from: GatewaySettings,
  to: GatewaySettings,
  name: Name,
): void {
  if (from[name] === undefined) delete to[name];
  else to[name] = from[name];
}

/** Formats a value as JSON with sorted keys, since files may order them. */
function formatCanonical(value: unknown): string {
  return JSON.stringify(
    value,
    (_key, each: unknown) =>
      typeof each === "object" && each !== null && !Array.isArray(each)
        ? Object.fromEntries(
          Object.entries(each).sort(([left], [right]) => left < right ? -1 : 1),
        )
        : each,
  ) ?? "";
}
