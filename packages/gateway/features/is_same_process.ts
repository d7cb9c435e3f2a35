/** Tells the processes apart that register themselves under the same id. */
import type { ListedTarget } from "../dialect.ts";

/** Whether two entries with the same id are of the same process. */
export function isSameProcess(
  left: ListedTarget,
  right: ListedTarget,
): boolean {
  return left.incarnation === right.incarnation &&
    left.release === right.release &&
    left.host === right.host && left.port === right.port;
}
