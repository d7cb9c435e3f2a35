/**
 * Asks other VMs for the configuration. A VM that is no reader follows a reader
 * of its region; a VM that can't confirm its configuration elsewhere asks others
 * in turn. A peer gives the row as the store has it, so that a VM of another
 * release decodes it itself, and says how old its own knowledge is.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Millis, MonotonicTime, Undo, VmId } from "../../../core/mod.ts";
import type { PeerWithRegion } from "../../../lending/mod.ts";
import type { PeerConfigurationAnswer } from "../../../peer/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  type LogFields,
  startOnDemand,
} from "../../../runtime/mod.ts";
import type { StoredConfiguration } from "../../dialect.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { PeerAccess } from "../peers/peer_access.ts";
import {
  chooseConfigurationPeer,
  chooseOverduePeers,
  isConfigurationReader,
  isDrawnAsReader,
  isLateAnswer,
  isLeftToReaders,
  isReadingShared,
  type KnownVms,
  listReaders,
} from "./choose_configuration_peer.ts";
import { ConfigurationAnswers, measureNews } from "./configuration_answers.ts";
import {
  computeConfigurationAge,
  type ConfigurationAccess,
  type ConfigurationRow,
  type ConfigurationValue,
  isConfigurationOverdue,
} from "./configuration_page.ts";
import type { NamedText } from "./configuration_steps.ts";
import {
  ConfigurationTexts,
  parseDifference,
  parseWhole,
  type ReceivedText,
} from "./configuration_texts.ts";
import { ConfigurationTraffic } from "./configuration_traffic.ts";
import type { ComparisonRound } from "./restore_comparison.ts";

/**
 * Fraction of the configuration's deadline for which a peer holds a call until
 * it has a newer one.
 */
const HOLD_SHARE = 0.25;

/** Fraction of the deadline for which a draw of those who ask the store holds. */
const DRAW_SHARE = 0.25;

/** Time after which another VM is asked while one has not answered. */
const TURN_TIME: Millis = 400;

/** Pause between two calls to the VM that is followed. */
const FOLLOW_PAUSE: Millis = 60;

/** Interval between two checks whether the configuration is overdue. */
const CHECK_INTERVAL: Millis = 250;

/** Maximum pause between two turns in which no VM knows more. */
const MAX_PAUSE: Millis = 1_000;

/** Maximum time between two answers of readers, who get each second turn. */
const READER_INTERVAL: Millis = 2 * (MAX_PAUSE + TURN_TIME);

/** Maximum number of VMs that are asked at once for a newer configuration. */
const MAX_COMPARED = 16;

/**
 * Maximum time for the answers of these VMs. It is longer than a turn, since a
 * busy VM may be the only one that knows more.
 */
const COMPARISON_TIME: Millis = 1_000;

/** The VMs that a VM knows, with their addresses. */
interface KnownPeers extends KnownVms {
  readonly others: readonly PeerWithRegion[];
}

/** A call to a peer. */
interface Question {
  /** Maximum time for which the peer waits for a newer configuration. */
  readonly wait: Millis;
  /** Whether the answer leaves the row out if it is large. */
  readonly omitsLarge: boolean;
}

/** Asks other VMs for the configuration. */
export class ConfigurationPeers {
  readonly #context: GatewayContext;
  readonly #peers: PeerAccess;
  readonly #access: ConfigurationAccess;
  readonly #reportError: (error: unknown) => void;
  readonly #traffic = new ConfigurationTraffic();
  readonly #texts = new ConfigurationTexts();
  /** Answers the calls of other VMs. */
  readonly answers: ConfigurationAnswers;
  /** Until when a VM that gave no answer of use is not asked. */
  readonly #silentUntil = new Map<VmId, MonotonicTime>();
  /** VMs that gave no answer since another one last did. */
  readonly #unanswered = new Set<VmId>();
  /** Turns since the configuration was last confirmed. */
  #attempt = 0;
  /** Highest own version of a configuration that a peer has named. */
  #newestKnown = -Infinity;
  /** Answers of readers whose knowledge was old on arrival. */
  #lateAnswers = 0;
  /** Number of calls to peers that have not ended. */
  #asked = 0;
  /** The call in progress that brings a large row; undefined if none does. */
  #transfer: Promise<unknown> | undefined;
  /** Until when a reader that said so counts as connected to the store. */
  #readerConnectedUntil: MonotonicTime = -Infinity;
  /** Whether this VM was drawn to ask the store, and until when that holds. */
  #draw = { isDrawn: false, until: -Infinity };
  /** Whether a difference from this VM's text could not be applied. */
  #isWholeNeeded = false;

  constructor(
    context: GatewayContext,
    input: {
      readonly peers: PeerAccess;
      readonly access: ConfigurationAccess;
    },
  ) {
    this.#context = context;
    this.#reportError = createErrorReporter(
      context.log,
      "configuration of peers",
    );
    this.#peers = input.peers;
    this.#access = input.access;
    this.answers = new ConfigurationAnswers(context, {
      access: input.access,
      texts: this.#texts,
      traffic: this.#traffic,
    });
  }

  /** Starts to follow a reader, or to watch for an overdue configuration. */
  register(): Undo {
    const process = startOnDemand({
      computeWait: () => this.#computeWait(),
      run: async () => {
        await this.#takeTurn();
        return true;
      },
      reportError: this.#reportError,
    });
    process.wake();
    return process.stop;
  }

  /** Whether VMs of this region leave the reading to others. */
  get isShared(): boolean {
    return isReadingShared(this.#listVms());
  }

  /** Whether this VM has to ask the store now. */
  get isStoreNeeded(): boolean {
    const vms = this.#listVms();
    if (isConfigurationReader(vms)) return true;
    if (!this.#isOverdue || this.#transfer !== undefined) return false;
    const isLeft = isLeftToReaders({
      age: computeConfigurationAge(this.#context, this.#access),
      deadline: this.#deadline,
      isReaderConnected: this.#isReaderConnected,
    });
    return !isLeft && this.#isDrawn(vms);
  }

  /** Whether a reader is connected to the store, so that it will have the row. */
  get #isReaderConnected(): boolean {
    return this.#context.clock.readMonotonic() < this.#readerConnectedUntil;
  }

  /** Whether this VM is drawn; a draw holds for about the time of a transfer. */
  #isDrawn(vms: KnownVms): boolean {
    const { clock, random } = this.#context;
    const now = clock.readMonotonic();
    if (now >= this.#draw.until) {
      this.#draw = {
        isDrawn: isDrawnAsReader(vms, random()),
        until: now + DRAW_SHARE * this.#deadline,
      };
    }
    return this.#draw.isDrawn;
  }

  /** Highest version that a peer has named; undefined if none has. */
  get newestKnown(): number | undefined {
    return this.#newestKnown === -Infinity ? undefined : this.#newestKnown;
  }

  /** Asks several VMs at once whether they have a newer configuration. */
  async compare(): Promise<ComparisonRound> {
    const peers = this.#drawPeers(MAX_COMPARED);
    const answers = await Promise.all(peers.map((peer) => {
      const end = sleep(COMPARISON_TIME, undefined, { ref: false });
      return Promise.race([this.#ask(peer, 0), end]);
    }));
    const received = answers.filter((answer) => answer !== undefined);
    const newest = this.#access.readNewest() ?? Infinity;
    return {
      asked: peers.length,
      answered: received.length,
      isBehind: received.some(({ age, configuration }) =>
        age !== undefined && (configuration ?? -Infinity) > newest
      ),
      isListLoaded: this.#peers.list.isLoaded,
    };
  }

  /** Returns the calls since the last time, as log fields. */
  takeTraffic(): LogFields | undefined {
    const fields = this.#traffic.take();
    if (fields === undefined) return undefined;
    return {
      ...fields,
      in_progress: this.#asked,
      held: this.answers.heldCalls,
    };
  }

  /** Gives a row to peers from now on. */
  recordRow({ value }: ConfigurationRow): void {
    this.#texts.record(value);
  }

  get #isOverdue(): boolean {
    return isConfigurationOverdue(this.#context, this.#access);
  }

  get #deadline(): Millis {
    return this.#context.settings.configurationMillis;
  }

  #drawPeers(count: number): readonly PeerWithRegion[] {
    const { random } = this.#context;
    return this.#peers.list.listPeers()
      .map((peer) => ({ peer, order: random() }))
      .toSorted((one, other) => one.order - other.order)
      .slice(0, count)
      .map(({ peer }) => peer);
  }

  #listVms(): KnownPeers {
    const { vm, region, clock } = this.#context;
    const now = clock.readMonotonic();
    return {
      self: { vm, region },
      others: this.#peers.list.listPeers().filter((peer) =>
        (this.#silentUntil.get(peer.vm) ?? -Infinity) <= now
      ),
    };
  }

  #computeWait(): Millis {
    if (!this.#isOverdue) {
      const isFollowing = !isConfigurationReader(this.#listVms());
      return isFollowing && this.#attempt === 0 ? FOLLOW_PAUSE : CHECK_INTERVAL;
    }
    const pause = Math.min(MAX_PAUSE, FOLLOW_PAUSE * 2 ** this.#attempt);
    return pause * (1 + this.#context.random()) / 2;
  }

  /** Asks one VM, if this one follows another or its configuration is overdue. */
  async #takeTurn(): Promise<void> {
    const vms = this.#listVms();
    const isOverdue = this.#isOverdue;
    if (!isOverdue && isConfigurationReader(vms)) {
      this.#attempt = 0;
      return;
    }
    const peers = this.#choosePeers(vms, isOverdue);
    if (peers.length === 0) return;
    const wait = isOverdue ? 0 : HOLD_SHARE * this.#deadline;
    const turn = sleep(wait + TURN_TIME, undefined, { ref: false });
    const answers = peers.map((peer) => this.#follow(peer, wait));
    await Promise.race([Promise.all(answers), turn]);
  }

  #choosePeers(
    vms: KnownPeers,
    isOverdue: boolean,
  ): readonly PeerWithRegion[] {
    const { random } = this.#context;
    const input = { attempt: this.#attempt++, lateAnswers: this.#lateAnswers };
    const chosen = isOverdue
      ? chooseOverduePeers(vms, { ...input, random })
      : [chooseConfigurationPeer(vms, { ...input, random: random() })];
    return vms.others.filter(({ vm }) => chosen.includes(vm));
  }

  async #follow(peer: PeerWithRegion, wait: Millis): Promise<void> {
    const { clock } = this.#context;
    const startedAt = clock.readMonotonic();
    const answer = await this.#ask(peer, wait);
    const now = clock.readMonotonic();
    if (listReaders(this.#listVms()).includes(peer.vm)) {
      this.#recordReader(answer, now - startedAt);
    }
    this.#recordSilence(peer.vm, answer);
    if (answer?.age === undefined) return;
    // Otherwise others are asked meanwhile, who may know what has changed.
    if (!this.#isOverdue) await this.#transfer;
    if (!this.#isOverdue) this.#attempt = 0;
  }

  /** Notes whether a VM gave an answer of use, so that it is asked again. */
  #recordSilence(vm: VmId, answer: PeerConfigurationAnswer | undefined): void {
    if (answer?.age === undefined) {
      const now = this.#context.clock.readMonotonic();
      this.#silentUntil.set(vm, now + this.#deadline);
    }
    if (answer === undefined) return void this.#unanswered.add(vm);
    // If several gave no answer in a row, this VM was cut off, not they.
    if (this.#unanswered.size > 1) {
      for (const each of this.#unanswered) this.#silentUntil.delete(each);
    }
    this.#unanswered.clear();
  }

  /** Notes whether a reader is late, and whether it is connected to the store. */
  #recordReader(
    answer: PeerConfigurationAnswer | undefined,
    duration: Millis,
  ): void {
    const now = this.#context.clock.readMonotonic();
    this.#readerConnectedUntil = answer?.reachesStore
      ? now + READER_INTERVAL
      : -Infinity;
    if (answer?.age === undefined) return;
    const age = answer.age + duration - answer.held;
    if (isLateAnswer(age, this.#deadline)) this.#lateAnswers++;
  }

  /**
   * Asks a VM for what it knows, without a large row. If it has one, that is
   * fetched then, from one VM at a time: several would share this VM's link, and
   * none would be complete in time.
   */
  async #ask(
    peer: PeerWithRegion,
    wait: Millis,
  ): Promise<PeerConfigurationAnswer | undefined> {
    const answer = await this.#exchange(peer, { wait, omitsLarge: true });
    if (answer?.isOmitted) {
      this.#transfer ??= this.#exchange(peer, { wait: 0, omitsLarge: false })
        .catch(this.#reportError)
        .finally(() => (this.#transfer = undefined));
    }
    return answer;
  }

  /** Applies what a peer knows; returns its answer, undefined if it gave none. */
  async #exchange(
    peer: PeerWithRegion,
    question: Question,
  ): Promise<PeerConfigurationAnswer | undefined> {
    const { clock } = this.#context;
    const sentAt = clock.readMonotonic();
    this.#asked++;
    const answer = await this.#askAndApply(peer, { ...question, sentAt })
      .finally(() => this.#asked--);
    this.#traffic.recordAsked({
      peer: peer.vm,
      ...(answer?.age === undefined ? {} : {
        answer: {
          ...measureNews(answer),
          duration: clock.readMonotonic() - sentAt - answer.held,
          age: answer.age,
        },
      }),
    });
    return answer;
  }

  async #askAndApply(
    peer: PeerWithRegion,
    { wait, omitsLarge, sentAt }: Question & { readonly sentAt: MonotonicTime },
  ): Promise<PeerConfigurationAnswer | undefined> {
    const newest = this.#access.readNewest();
    const base = this.#isWholeNeeded ? undefined : this.#texts.newest;
    const received = await this.#peers.heldCallClient.followConfiguration(
      peer.address,
      {
        after: this.#access.readPage().version,
        wait,
        omitsLarge,
        ...(newest === undefined ? {} : { known: newest }),
        ...(base === undefined ? {} : { base: base.digest }),
      },
    );
    const answer = received.toMaybe().extract();
    // Without an age it has no configuration, or can't read the newest one,
    // which this VM may be able to read.
    if (answer?.age === undefined) return answer;
    const { configuration = -Infinity } = answer;
    this.#newestKnown = Math.max(this.#newestKnown, configuration);
    if (answer.isOmitted) return answer;
    const isChanged = (answer.row ?? answer.difference) !== undefined;
    const row = await this.#parseNews(answer, { base, peer: peer.vm });
    // Without its row, the version of a peer says nothing here.
    if (isChanged && row === undefined) return answer;
    const { version, held, age } = answer;
    const currentUntil = sentAt + held - age;
    const source = { peer: peer.vm, sentAt };
    this.#access.applyPage({ version, currentUntil, row }, source);
    return answer;
  }

  /** Decodes the row of an answer; undefined if it has none that can be read. */
  async #parseNews(
    { row, difference }: PeerConfigurationAnswer,
    input: { readonly base: NamedText | undefined; readonly peer: VmId },
  ): Promise<ConfigurationRow | undefined> {
    const { base, peer } = input;
    const sent = row ?? difference;
    if (sent === undefined) return undefined;
    const { key, version } = sent;
    try {
      const received = row !== undefined || base === undefined
        ? await parseWhole(sent.text)
        : await parseDifference(sent.text, base);
      const value = this.#parseValue(received);
      this.#isWholeNeeded = false;
      return { key, version, value };
    } catch (error) {
      this.#isWholeNeeded = true;
      this.#context.log.warn(LogEvent.RowDamaged, {
        table: "configuration",
        key,
        version,
        peer,
        difference: row === undefined,
        reason: String(error),
      });
      return undefined;
    }
  }

  /** @throws If the text is no configuration. */
  #parseValue({ text, steps }: ReceivedText): ConfigurationValue {
    const parsed = this.#context.dialect.parseConfiguration(text);
    if (parsed.isLeft()) throw new Error(parsed.extract() as string);
    const value = parsed.extract() as StoredConfiguration;
    return steps === undefined ? value : { ...value, steps };
  }
}
