/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The command ran and found that something does not hold. */
  Failed = 1,
  /** The command line, settings or document are wrong. */
  BadInput = 2,
  /** An outside system or a daemon could not be reached. */
  Unreachable = 3,
}
