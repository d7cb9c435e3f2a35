/**
 * Runs an experiment and records the machine, the commit and the seed with it.
 */
import { existsSync, readFileSync } from "node:fs";
import { cpus, loadavg, platform, release, totalmem } from "node:os";
import { dirname, join, resolve } from "node:path";
import { BYTES_PER_MIB } from "../../core/mod.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from "./experiment.ts";

/** The machine on which a run was made. */
export interface MachineInfo {
  readonly processor: string;
  readonly cores: number;
  readonly memoryMib: number;
  readonly system: string;
  readonly node: string;
  /** One-minute load average at the start of the run. */
  readonly load: number;
}

/** The record of one run of an experiment. */
export interface ExperimentRun {
  readonly experiment: string;
  readonly description: string;
  readonly quick: boolean;
  readonly seed: number;
  readonly commit: string;
  readonly startedAt: string;
  readonly seconds: number;
  readonly machine: MachineInfo;
  readonly figures: ExperimentResult;
}

/** Returns the description of this machine. */
export function readMachine(): MachineInfo {
  const [processor] = cpus();
  return {
    processor: processor?.model ?? "unknown",
    cores: cpus().length,
    memoryMib: Math.round(totalmem() / BYTES_PER_MIB),
    system: `${platform()} ${release()}`,
    node: process.version,
    load: loadavg()[0] ?? 0,
  };
}

/**
 * Returns the commit that is checked out in the repository around a directory,
 * or `unknown`.
 */
export function readCommit(directory: string): string {
  const gitDirectory = findGitDirectory(resolve(directory));
  if (gitDirectory === undefined) return "unknown";
  const head = readFileSync(join(gitDirectory, "HEAD"), "utf8").trim();
  if (!head.startsWith("ref: ")) return head;
  const reference = head.slice("ref: ".length);
  const commonDirectoryFile = join(gitDirectory, "commondir");
  const commonDirectory = existsSync(commonDirectoryFile)
    ? resolve(gitDirectory, readFileSync(commonDirectoryFile, "utf8").trim())
    : gitDirectory;
  const path = join(commonDirectory, reference);
  if (existsSync(path)) return readFileSync(path, "utf8").trim();
  return findPackedReference(join(commonDirectory, "packed-refs"), reference);
}

/** Runs an experiment and returns the record of the run. */
export async function runExperiment(
  experiment: Experiment,
  options: ExperimentOptions,
): Promise<ExperimentRun> {
  const machine = readMachine();
  const startedAt = new Date();
  const figures = await experiment.run(options);
  return {
    experiment: experiment.name,
    description: experiment.description,
    quick: options.quick,
    seed: options.seed,
    commit: readCommit("."),
    startedAt: startedAt.toISOString(),
    seconds: (Date.now() - startedAt.getTime()) / 1_000,
    machine,
    figures,
  };
}

function findGitDirectory(directory: string): string | undefined {
  const path = join(directory, ".git");
  if (!existsSync(path)) {
    const parent = dirname(directory);
    return parent === directory ? undefined : findGitDirectory(parent);
  }
  if (existsSync(join(path, "HEAD"))) return path;
  // In a linked worktree, .git is a file with the path of the Git directory.
  return resolve(
    directory,
    readFileSync(path, "utf8").slice("gitdir: ".length).trim(),
  );
}

function findPackedReference(path: string, reference: string): string {
  if (!existsSync(path)) return "unknown";
  const line = readFileSync(path, "utf8").split("\n")
    .find((each) => each.endsWith(` ${reference}`));
  return line?.split(" ")[0] ?? "unknown";
}
