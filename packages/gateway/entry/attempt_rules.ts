/**
 * What the newest configuration and the evacuations say of an attempt that starts
 * now. A request keeps the configuration of its arrival, but not the home
 * regions: those that were added while it waited for tokens or a retry apply as
 * well.
 */
import { combineHomeRegions, type HomeRegions } from "../../routes/mod.ts";
import type { ConfigurationFollower } from "../features/configuration/configuration_follower.ts";
import type { EvacuationFollower } from "../features/evacuations/evacuation_follower.ts";
import type { RoutedCall } from "./routed_call.ts";

/** The part of a call that decides where it may be sent. */
export type ConfinedCall =
  & Pick<RoutedCall, "homeRegions">
  & {
    readonly route: Pick<RoutedCall["route"], "id">;
    readonly customer: { readonly id: string } | undefined;
  };

/** Decides where attempts may be sent, and whether this VM can know it. */
export class AttemptRules {
  readonly #configuration: Pick<ConfigurationFollower, "read" | "isOutdated">;
  readonly #evacuations: Pick<EvacuationFollower, "isOutdated">;

  constructor(
    configuration: Pick<ConfigurationFollower, "read" | "isOutdated">,
    evacuations: Pick<EvacuationFollower, "isOutdated">,
  ) {
    this.#configuration = configuration;
    this.#evacuations = evacuations;
  }

  /**
   * Returns the regions that a call's attempt may be sent to: those at its
   * arrival that the newest configuration allows as well. A route or customer
   * that is gone keeps those at its arrival.
   */
  findHomeRegions(call: ConfinedCall): HomeRegions | undefined {
    const { route, customer, homeRegions } = call;
    const newest = this.#configuration.read()?.findHomeRegions({
      route: route.id,
      customer: customer?.id,
    });
    return combineHomeRegions(homeRegions, newest);
  }

  /**
   * Whether an attempt must be left to VMs that know the newest evacuations, or
   * the newest configuration, which may have other home regions. Without any in
   * use a call goes on by the configuration of its arrival.
   */
  isOutdatedFor(call: ConfinedCall): boolean {
    if (this.#evacuations.isOutdated) return true;
    const isConfined = call.homeRegions !== undefined ||
      this.#configuration.read()?.hasHomeRegions === true;
    return isConfined && this.#configuration.isOutdated;
  }
}
