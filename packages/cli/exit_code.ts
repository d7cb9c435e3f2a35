/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The command ran, but a check or a request failed. */
  Failed = 1,
  /** The command line or an input file is invalid. */
  BadInput = 2,
  /** An external system or a VM could not be reached. */
  Unreachable = 3,
}
