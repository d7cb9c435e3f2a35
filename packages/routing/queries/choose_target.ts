/** Chooses the target of an attempt. */
import { type Either, Left, Right } from "purify-ts";
import {
  createNotRun,
  type MonotonicTime,
  type RandomSource,
  type Refusal,
  RefusalKind,
  type TargetConfig,
} from "../../core/mod.ts";
import {
  type RoutedRequest,
  type RoutingState,
  TargetHealth,
} from "../state.ts";

const NO_TARGET_RETRY_AFTER = 2_000;

/** Returns the less busy of two sampled targets that may get new work. */
export function chooseTarget(
  state: RoutingState,
  input: {
    readonly request: RoutedRequest;
    readonly now: MonotonicTime;
    readonly random: RandomSource;
  },
): Either<Refusal, TargetConfig> {
  const { request, random } = input;
  const ids = state.byService.get(request.service) ?? [];
  const usable = ids
    .map((id) => state.targets.get(id))
    .filter((target) => target !== undefined)
    .filter((target) => target.health === TargetHealth.Healthy)
    .filter((target) => !request.tried.includes(target.config.id));
  const first = usable[Math.floor(random() * usable.length)];
  const second = usable[Math.floor(random() * usable.length)];
  if (first === undefined || second === undefined) {
    return Left(createNotRun(
      RefusalKind.NoTarget,
      "We could not reach a service that can answer this right now. Nothing was done. Please try again shortly.",
      { retryAfter: NO_TARGET_RETRY_AFTER },
    ));
  }
  return Right(
    first.inFlight <= second.inFlight ? first.config : second.config,
  );
}
