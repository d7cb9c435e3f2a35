/** Reads settings and document files for commands and formats their errors. */
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { type Either, Left, Right } from "purify-ts";
import {
  formatInputError,
  type InputError,
  InputErrorKind,
} from "../core/mod.ts";
import { parseSettings, type Settings } from "../settings/mod.ts";

/** Reads a file as text; returns an input error if it cannot be read. */
export function readTextFile(
  path: string,
): Either<readonly InputError[], string> {
  try {
    return Right(readFileSync(path, "utf8"));
  } catch (error) {
    return Left([{
      kind: InputErrorKind.Unreadable,
      message: `The file ${path} cannot be read: ${describeError(error)}`,
      remedy: "Check the file's name and permissions.",
    }]);
  }
}

/**
 * Reads and validates a settings file. Relative paths in it are resolved against
 * the file's directory.
 */
export function readSettingsFile(
  path: string,
): Either<readonly InputError[], Settings> {
  return readTextFile(path)
    .chain((text) => parseSettings(text, path))
    .map((settings) => resolvePaths(settings, dirname(path)));
}

function resolvePaths(settings: Settings, directory: string): Settings {
  const resolveServerPaths = (server: Settings["callers"]) =>
    server.tls === undefined ? server : {
      ...server,
      tls: resolveTlsPaths(server.tls, directory),
    };
  const { peerKeyFile } = settings;
  return {
    ...settings,
    callers: resolveServerPaths(settings.callers),
    operators: resolveServerPaths(settings.operators),
    peers: resolveServerPaths(settings.peers),
    ...(peerKeyFile === undefined
      ? {}
      : { peerKeyFile: resolve(directory, peerKeyFile) }),
  };
}

function resolveTlsPaths(
  tls: NonNullable<Settings["callers"]["tls"]>,
  directory: string,
) {
  const { authorityFile } = tls;
  return {
    ...tls,
    certificateFile: resolve(directory, tls.certificateFile),
    keyFile: resolve(directory, tls.keyFile),
    ...(authorityFile === undefined
      ? {}
      : { authorityFile: resolve(directory, authorityFile) }),
  };
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Formats input errors for display, separated by line breaks. */
export function formatInputErrors(errors: readonly InputError[]): string {
  return errors.map(formatInputError).join("\n");
}
