import type { IClock, IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import { bulkSection, type ProgressDelta } from "./messages.ts";
import type { IPendingItem, PendingItems } from "./pending_items.ts";

/** Interval between two writes of the progress of items, in milliseconds. */
const WRITE_INTERVAL_MILLISECONDS = 1_000;

/** Longest wait for the commit of progress, in milliseconds. */
const COMMIT_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Commits the progress of items to the log periodically, so that a new leader
 * can resume them.
 */
export class ProgressWriter implements IDisposable {
  #log: IReplicatedLog;
  #items: PendingItems;
  #clock: IClock;
  #stopping = new AbortController();

  constructor(
    log: IReplicatedLog,
    items: PendingItems,
    options: { clock: IClock },
  ) {
    this.#log = log;
    this.#items = items;
    this.#clock = options.clock;
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stopping.abort();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(WRITE_INTERVAL_MILLISECONDS);
      await this.#clock.sleepUntil(next, signal);
      if (!signal.aborted) await this.#write();
    }
  }

  async #write(): Promise<void> {
    const advanced = [...this.#items.all].filter((it) =>
      !it.isRecording && it.progress.data.length > it.writtenEvents
    );
    if (advanced.length === 0) return;
    const deltas = advanced.map(progressDelta);
    const written = advanced.map(({ progress }) => progress);
    const deadline = this.#clock.deadlineIn(COMMIT_TIMEOUT_MILLISECONDS);
    const command = { kind: "progress", deltas };
    const committed = await this.#log.propose(bulkSection.name, command, {
      deadline,
    });
    // After a failure, the next write begins at the same event again.
    if (committed.isErr()) return;
    advanced.forEach((pending, position) => {
      // The item may have started again in the meantime.
      if (pending.progress !== written[position]) return;
      const { from, data } = deltas[position] as ProgressDelta;
      pending.writtenEvents = from + data.length;
    });
  }
}

/** Returns the events received since the progress was last written. */
function progressDelta(pending: IPendingItem): ProgressDelta {
  const { job, item, progress, writtenEvents, softwareVersion } = pending;
  return {
    job: job.job.id,
    item: item.id,
    from: writtenEvents,
    data: progress.data.slice(writtenEvents),
    lastEventId: progress.lastEventId ?? "",
    softwareVersion,
  };
}
