import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { announcementIgnored, engineAnnouncedLeaving } from "./events.ts";
import type { ListedEngine } from "./types.ts";

/**
 * Time for which an engine must be missing from the list before it is forgotten,
 * in milliseconds. A list may be incomplete for a while.
 */
const ABSENCE_MILLISECONDS = 60_000;

/** Interval between two log lines about ignored announcements. */
const IGNORED_LOG_INTERVAL_MILLISECONDS = 60_000;

interface IAnnouncement {
  /** Start of the engine as listed; undefined if the list has not named it. */
  bornAt: number | undefined;
  /** Time until which a missing engine is kept; undefined while it is listed. */
  forgetAt: Deadline | undefined;
  readonly source: LeavingSource;
  readonly announcedAt: Deadline;
}

/** How an instance learned that an engine leaves. */
export type LeavingSource = "answer" | "store";

/**
 * Engines that have announced in an answer that they leave.
 *
 * An announcement holds at once on the instance that received it, whatever the
 * list of engines says, and until the list shows that the engine is gone or has
 * started again. Answers without an announcement do not revoke it, as they may
 * have been written before.
 */
export class LeavingEngines {
  #clock: IClock;
  #events: IEventLog;
  #announcements = new Map<string, IAnnouncement>();
  /** Starts of the listed engines. */
  #births = new Map<string, number | undefined>();
  #ignored = 0;
  #nextIgnoredLog = 0 as Deadline;

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
  }

  /** Records that an engine leaves. */
  announce(engine: string, source: LeavingSource): void {
    if (this.#announcements.has(engine)) return;
    const isListed = this.#births.has(engine);
    this.#announcements.set(engine, {
      ...{ source, announcedAt: this.#clock.monotonic() },
      bornAt: this.#births.get(engine),
      forgetAt: isListed
        ? undefined
        : this.#clock.deadlineIn(ABSENCE_MILLISECONDS),
    });
    this.#events.emit(engineAnnouncedLeaving, { engine, source, isListed });
  }

  /** Counts an announcement that cannot be read; it marks no engine. */
  ignoreMalformed(engine: string): void {
    this.#ignored += 1;
    if (!this.#clock.isPast(this.#nextIgnoredLog)) return;
    this.#nextIgnoredLog = this.#clock.deadlineIn(
      IGNORED_LOG_INTERVAL_MILLISECONDS,
    );
    this.#events.emit(announcementIgnored, { engine, count: this.#ignored });
  }

  has(engine: string): boolean {
    return this.#announcements.has(engine);
  }

  /** How and how long ago the engine announced that it leaves, if it did. */
  announcementOf(
    engine: string,
  ): { source: LeavingSource; ageMilliseconds: number } | undefined {
    const announcement = this.#announcements.get(engine);
    if (!announcement) return undefined;
    const age = this.#clock.monotonic() - announcement.announcedAt;
    return { source: announcement.source, ageMilliseconds: Math.round(age) };
  }

  /** The engine as listed, marked as leaving if it has announced that. */
  withAnnouncement(engine: ListedEngine): ListedEngine {
    if (engine.isLeaving || !this.has(engine.id)) return engine;
    return { ...engine, isLeaving: true };
  }

  /** Identifiers of all engines that have announced that they leave. */
  ids(): string[] {
    return [...this.#announcements.keys()];
  }

  /** Forgets engines that are gone or have started again. */
  updateList(engines: readonly ListedEngine[]): void {
    this.#births = new Map(engines.map(({ id, bornAt }) => [id, bornAt]));
    for (const [id, announcement] of this.#announcements) {
      if (!this.#births.has(id)) {
        announcement.forgetAt ??= this.#clock.deadlineIn(ABSENCE_MILLISECONDS);
        if (!this.#clock.isPast(announcement.forgetAt)) continue;
        this.#announcements.delete(id);
        continue;
      }
      const bornAt = this.#births.get(id);
      const hasRestarted = announcement.bornAt !== undefined &&
        bornAt !== undefined && bornAt !== announcement.bornAt;
      if (hasRestarted) this.#announcements.delete(id);
      announcement.bornAt ??= bornAt;
      announcement.forgetAt = undefined;
    }
  }
}
