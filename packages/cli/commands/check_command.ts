/** The command `anvilrail check`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import type { InputError } from "../../core/mod.ts";
import { parseDocument } from "../../document/mod.ts";
import { ExitCode } from "../exit_code.ts";
import {
  formatInputErrors,
  readSettingsFile,
  readTextFile,
} from "../read_settings.ts";

interface CheckArguments {
  readonly settings: string | undefined;
  readonly document: string | undefined;
}

/** Validates a settings file, a document, or both, without starting a VM. */
export const checkCommand: CommandModule<unknown, CheckArguments> = {
  command: "check",
  describe: "check a settings file and a document",
  builder: (parser) =>
    parser
      .option("settings", { type: "string", describe: "settings file" })
      .option("document", { type: "string", describe: "document file" })
      .check(({ settings, document }) => {
        if (settings !== undefined || document !== undefined) return true;
        throw new Error("Name a file with --settings or --document.");
      }),
  handler: ({ settings, document }) => {
    const errors = [
      ...settings === undefined ? [] : listSettingsErrors(settings),
      ...document === undefined ? [] : listDocumentErrors(document),
    ];
    if (errors.length === 0) {
      console.log("ok");
      return;
    }
    console.error(formatInputErrors(errors));
    process.exitCode = ExitCode.BadInput;
  },
};

function listSettingsErrors(path: string): readonly InputError[] {
  return readSettingsFile(path).swap().orDefault([]);
}

function listDocumentErrors(path: string): readonly InputError[] {
  return readTextFile(path)
    .chain((text) => parseDocument(text, path))
    .swap().orDefault([]);
}
