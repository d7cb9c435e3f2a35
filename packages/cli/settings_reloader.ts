/**
 * Applies changes of a settings file to a running process. A file that can't be
 * read or has errors, as while it is being written, leaves the settings as they
 * are and is logged once.
 */
import type { Either } from "purify-ts";
import type { InputError } from "../core/mod.ts";
import { type EventLog, LogEvent } from "../runtime/mod.ts";
import { formatInputErrors } from "./read_settings.ts";

/** Dependencies of a {@link SettingsReloader}. */
export interface SettingsReloaderOptions<Settings> {
  /** The text that the process was started with. */
  readonly text: string;
  readonly log: Pick<EventLog, "error">;
  readonly readText: () => Either<readonly InputError[], string>;
  readonly parse: (text: string) => Either<readonly InputError[], Settings>;
  readonly apply: (settings: Settings) => void;
}

/** Compares the text of a settings file with the one in effect. */
export class SettingsReloader<Settings> {
  readonly #options: SettingsReloaderOptions<Settings>;
  /** The text of the settings in effect. */
  #text: string;
  /** What was logged of the file since it last held settings in effect. */
  #loggedFault: string | undefined;

  constructor(options: SettingsReloaderOptions<Settings>) {
    this.#options = options;
    this.#text = options.text;
  }

  /** Reads the file, and applies it if it has changed and is valid. */
  reload(): void {
    const { readText, parse, apply } = this.#options;
    const read = readText();
    const isUnchanged = read.map((text) => text === this.#text)
      .orDefault(false);
    if (isUnchanged) {
      this.#loggedFault = undefined;
      return;
    }
    read.chain(parse).caseOf({
      Left: (errors) => this.#logFault(formatInputErrors(errors)),
      Right: (settings) => {
        this.#text = read.orDefault(this.#text);
        this.#loggedFault = undefined;
        apply(settings);
      },
    });
  }

  #logFault(reason: string): void {
    if (reason === this.#loggedFault) return;
    this.#loggedFault = reason;
    this.#options.log.error(LogEvent.SettingsRefused, { reason });
  }
}
