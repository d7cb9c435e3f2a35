/** The command `anvilrail document`. */
import { randomUUID } from "node:crypto";
import process from "node:process";
import type { Argv, CommandModule } from "yargs";
import type { JsonValue } from "../../core/mod.ts";
import { parseDocumentSections } from "../../document/mod.ts";
import {
  addAdminOptions,
  type AdminOptions,
  callAdmin,
  runAdminCall,
} from "../admin_client.ts";
import { ExitCode } from "../exit_code.ts";
import { formatInputErrors, readTextFile } from "../read_settings.ts";

interface SectionOptions extends AdminOptions {
  readonly section: string;
}

interface PutOptions extends SectionOptions {
  readonly file: string;
  readonly base: number | undefined;
  readonly changeId: string | undefined;
  readonly dryRun: boolean;
}

interface ImportOptions extends AdminOptions {
  readonly file: string;
}

interface RollbackOptions extends SectionOptions {
  readonly to: number;
}

/** Reads and changes the operators' document through a VM's API. */
export const documentCommand: CommandModule = {
  command: "document",
  describe: "read and change the operators' document",
  builder: (parser) =>
    addSubcommands(parser).demandCommand(1, "Name a subcommand."),
  handler: () => {},
};

function addSubcommands(parser: Argv): Argv {
  return parser
    .command(
      "get [section]",
      "print a section's text, or the versions of all sections",
      (subparser) =>
        addAdminOptions(subparser.positional("section", { type: "string" })),
      (options) => getDocument(options as unknown as SectionOptions),
    )
    .command(
      "put <section> <file>",
      "replace a section's text",
      (subparser) => addPutOptions(subparser),
      (options) => putSection(options as unknown as PutOptions),
    )
    .command(
      "import <file>",
      "put every section of a document file, for an initial import",
      (subparser) =>
        addAdminOptions(subparser.positional("file", { type: "string" })),
      (options) => importDocument(options as unknown as ImportOptions),
    )
    .command(
      "history",
      "list accepted changes, the newest first",
      (subparser) => addAdminOptions(subparser),
      (options) =>
        runAdminCall(options as AdminOptions, {
          method: "GET",
          path: "/v1/document/history",
        }),
    )
    .command(
      "status",
      "show which document version each VM runs and which VMs are silent",
      (subparser) => addAdminOptions(subparser),
      (options) =>
        runAdminCall(options as AdminOptions, {
          method: "GET",
          path: "/v1/document/status",
        }),
    )
    .command(
      "rollback <section>",
      "restore an earlier version of a section as a new version",
      (subparser) =>
        addAdminOptions(
          subparser.positional("section", { type: "string" })
            .option("to", { type: "number", demandOption: true }),
        ),
      (options) => rollBack(options as unknown as RollbackOptions),
    );
}

function addPutOptions(parser: Argv): Argv {
  return addAdminOptions(
    parser
      .positional("section", { type: "string" })
      .positional("file", { type: "string" })
      .option("base", {
        type: "number",
        describe: "version the text was made from (default: the current one)",
      })
      .option("change-id", {
        type: "string",
        describe:
          "id of this change; after an error, repeat the command with this id",
      })
      .option("dry-run", {
        type: "boolean",
        default: false,
        describe: "show the effects and change nothing",
      }),
  );
}

interface SectionAnswer {
  readonly version: number;
  readonly text: string;
}

async function getDocument(options: SectionOptions): Promise<void> {
  if (options.section === undefined) {
    return await runAdminCall(options, { method: "GET", path: "/v1/document" });
  }
  const section = await readSection(options, options.section);
  if (section === undefined) return;
  console.error(`version ${section.version}`);
  console.log(section.text);
}

async function readSection(
  options: AdminOptions,
  section: string,
): Promise<SectionAnswer | undefined> {
  const path = `/v1/document/sections/${encodeURIComponent(section)}`;
  const answer = await callAdmin(options, { method: "GET", path });
  return answer as unknown as SectionAnswer | undefined;
}

async function putSection(options: PutOptions): Promise<void> {
  const text = readTextFile(options.file);
  if (text.isLeft()) return reportErrors(text.swap().unsafeCoerce());
  const base = options.base ?? await readBaseVersion(options, options.section);
  if (base === undefined) return;
  const path = `/v1/document/sections/${encodeURIComponent(options.section)}`;
  await runAdminCall(options, {
    method: "PUT",
    path: options.dryRun ? `${path}?dryRun=true` : path,
    body: {
      changeId: options.changeId ?? randomUUID(),
      baseVersion: base,
      text: text.unsafeCoerce(),
    },
  });
}

/**
 * Returns the current version of a section, 0 if it does not exist yet; undefined
 * after an error.
 */
async function readBaseVersion(
  options: AdminOptions,
  section: string,
): Promise<number | undefined> {
  const answer = await callAdmin(options, {
    method: "GET",
    path: "/v1/document",
  });
  if (answer === undefined) return undefined;
  const { sections } = answer as unknown as {
    readonly sections: readonly { section: string; version: number }[];
  };
  return sections.find((each) => each.section === section)?.version ?? 0;
}

/**
 * Imports every section of a document file. Sections may refer to each other, so
 * refused ones are retried as long as each pass gets at least one accepted.
 */
async function importDocument(options: ImportOptions): Promise<void> {
  const sections = readTextFile(options.file)
    .chain((text) => parseDocumentSections(text, options.file));
  if (sections.isLeft()) return reportErrors(sections.swap().unsafeCoerce());
  let remaining = sections.unsafeCoerce();
  while (remaining.length > 0) {
    const refused = [];
    for (const each of remaining) {
      process.exitCode = ExitCode.Ok;
      const accepted = await importSection(options, each);
      if (!accepted) refused.push(each);
    }
    if (refused.length === remaining.length) {
      process.exitCode = ExitCode.Failed;
      return;
    }
    remaining = refused;
  }
  process.exitCode = ExitCode.Ok;
}

async function importSection(
  options: ImportOptions,
  input: { readonly section: string; readonly text: string },
): Promise<boolean> {
  const baseVersion = await readBaseVersion(options, input.section);
  if (baseVersion === undefined) return false;
  const body = { changeId: randomUUID(), baseVersion, text: input.text };
  const answer: JsonValue | undefined = await callAdmin(options, {
    method: "PUT",
    path: `/v1/document/sections/${encodeURIComponent(input.section)}`,
    body,
  });
  if (answer !== undefined) console.log(`accepted section ${input.section}`);
  return answer !== undefined;
}

async function rollBack(options: RollbackOptions): Promise<void> {
  const baseVersion = await readBaseVersion(options, options.section);
  if (baseVersion === undefined) return;
  const section = encodeURIComponent(options.section);
  await runAdminCall(options, {
    method: "POST",
    path: `/v1/document/sections/${section}/rollback`,
    body: { changeId: randomUUID(), baseVersion, toVersion: options.to },
  });
}

function reportErrors(errors: Parameters<typeof formatInputErrors>[0]): void {
  console.error(formatInputErrors(errors));
  process.exitCode = ExitCode.BadInput;
}
