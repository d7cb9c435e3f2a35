/** What a VM knows of the configuration, as the exchange with others sees it. */
import type { Millis, MonotonicTime, VmId } from "../../../core/mod.ts";
import type { StoredConfiguration } from "../../dialect.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { ConfigurationStep } from "./configuration_steps.ts";

/**
 * Fraction of the deadline after which a configuration that was not confirmed is
 * overdue, so that other VMs are asked for it.
 */
const OVERDUE_SHARE = 0.65;

/** A row of the configuration with the version up to which it is the newest. */
export interface ConfigurationPage {
  readonly version: number;
  /** Time up to which the page shows all changes; undefined if not known. */
  readonly currentUntil: MonotonicTime | undefined;
  readonly row: ConfigurationRow | undefined;
}

/** The row of a configuration, decoded. */
export interface ConfigurationRow {
  readonly key: string;
  readonly version: number;
  readonly value: ConfigurationValue;
}

/** A configuration with the steps by which its text was received, if any. */
export interface ConfigurationValue extends StoredConfiguration {
  readonly steps?: readonly ConfigurationStep[];
}

/** Where a page comes from. */
export interface PageSource {
  readonly peer: VmId;
  /** When it was asked for. */
  readonly sentAt: MonotonicTime;
}

/** What the exchange needs of the VM's own configuration. */
export interface ConfigurationAccess {
  /** Returns what this VM knows. */
  readPage(): ConfigurationPage;
  /**
   * Returns the own version of the configuration in effect, -1 without one;
   * undefined if a newer one is known that can't be read.
   */
  readNewest(): number | undefined;
  /** Applies what a peer knows, unless this VM knows better. */
  applyPage(page: ConfigurationPage, source: PageSource): void;
}

/**
 * Whether a configuration was not confirmed for so long that other VMs are asked
 * for it.
 */
export function isConfigurationOverdue(
  context: GatewayContext,
  access: ConfigurationAccess,
): boolean {
  const { configurationMillis: deadline } = context.settings;
  return computeConfigurationAge(context, access) > OVERDUE_SHARE * deadline;
}

/** Returns the time since the configuration was known to be the newest. */
export function computeConfigurationAge(
  { clock }: GatewayContext,
  access: ConfigurationAccess,
): Millis {
  return clock.readMonotonic() - (access.readPage().currentUntil ?? 0);
}
