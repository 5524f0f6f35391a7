import { ok } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IControlClient, IReplicatedLog } from "../consensus/mod.ts";
import type { LeavingEngines } from "../placement/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import type { IItemExecutor, IItemProgress } from "./item_run.ts";
import {
  type ReportAnswer,
  reportRunsMethod,
  type RunDelta,
  runItemMethod,
  stopItemMethod,
} from "./messages.ts";

/** Interval between two reports to the leader, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 400;

/** Longest wait for the answer to a report, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 700;

/** Time without an answered report after which all runs are stopped, in ms. */
const LEADER_TIMEOUT_MILLISECONDS = 1_500;

interface IHostedRun {
  readonly id: string;
  readonly term: number;
  readonly progress: IItemProgress;
  readonly abort: AbortController;
  /** Number of lines of data that the leader is known to hold. */
  confirmedLines: number;
}

/** Dependencies of a `RunHost`. */
export interface IRunHostOptions {
  /** Identifier of this store. */
  readonly store: string;
  readonly executor: IItemExecutor;
  /** Items of the jobs that this store has applied. */
  readonly section: Pick<BulkSection, "findOpenItem">;
  readonly leaving: Pick<LeavingEngines, "has">;
  readonly control: IControlClient;
  readonly log: IReplicatedLog;
  readonly server: IRpcServer;
  readonly clock: IClock;
}

/**
 * Runs items on behalf of the leader, on stores that are not the leader.
 *
 * Runs are stopped when the leader's term ends or the leader no longer
 * answers, so that the next leader can start the items again.
 */
export class RunHost implements IDisposable {
  #options: IRunHostOptions;
  #runs = new Map<string, IHostedRun>();
  #disposables = new DisposableStore();
  #stopping = new AbortController();
  #leaderAnsweredAt: Deadline;

  constructor(options: IRunHostOptions) {
    const { server, log, clock } = options;
    this.#options = options;
    this.#leaderAnsweredAt = clock.monotonic();
    this.#disposables.add(
      server.handle(runItemMethod, async (params) => {
        const { run: id, term, engine, host, lastEventId } = params;
        const item = "job" in params.item
          ? options.section.findOpenItem(params.item.job, params.item.id)
          : params.item;
        if (this.#runs.size === 0) this.#leaderAnsweredAt = clock.monotonic();
        const run: IHostedRun = {
          ...{ id, term },
          progress: { data: [], lastEventId },
          abort: new AbortController(),
          confirmedLines: 0,
        };
        if (!item) {
          const reason = `${options.store} does not hold the item`;
          const outcome = { kind: "abandoned" as const, reason };
          return ok({ outcome, delta: runDelta(run) });
        }
        this.#runs.set(id, run);
        const { signal } = run.abort;
        const { progress } = run;
        const outcome = await options.executor.run(engine, {
          ...{ item, host, progress, signal },
        });
        this.#runs.delete(id);
        const isEngineLeaving = options.leaving.has(engine.id);
        return ok({ outcome, delta: runDelta(run), isEngineLeaving });
      }),
    );
    this.#disposables.add(
      server.handle(stopItemMethod, ({ run }) => {
        this.#runs.get(run)?.abort.abort();
        return Promise.resolve(ok({}));
      }),
    );
    this.#disposables.add(
      log.onLeadershipChange(({ term }) =>
        this.#stopRuns((run) => run.term < term)
      ),
    );
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stopping.abort();
    this.#stopRuns(() => true);
    this.#disposables.dispose();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = clock.deadlineIn(REPORT_INTERVAL_MILLISECONDS);
      await clock.sleepUntil(next, signal);
      if (this.#runs.size > 0 && !signal.aborted) await this.#report();
    }
  }

  async #report(): Promise<void> {
    const { control, clock, store } = this.#options;
    const deltas = [...this.#runs.values()].map(runDelta);
    const answer = await control.call(reportRunsMethod, { store, deltas }, {
      deadline: clock.deadlineIn(REPORT_TIMEOUT_MILLISECONDS),
    });
    if (answer.isOk()) {
      this.#leaderAnsweredAt = clock.monotonic();
      this.#confirm(answer.value);
    }
    const silence = clock.monotonic() - this.#leaderAnsweredAt;
    if (silence > LEADER_TIMEOUT_MILLISECONDS) this.#stopRuns(() => true);
  }

  /**
   * Records what the leader holds. Leaders of earlier versions do not say it,
   * so all data is sent to them each time.
   */
  #confirm({ term, runs }: ReportAnswer): void {
    for (const { run: id, heldLines } of runs ?? []) {
      const run = this.#runs.get(id);
      if (!run || run.term !== term) continue;
      run.confirmedLines = Math.max(run.confirmedLines, heldLines);
    }
  }

  #stopRuns(shouldStop: (run: IHostedRun) => boolean): void {
    for (const run of this.#runs.values()) {
      if (shouldStop(run)) run.abort.abort();
    }
  }
}

/** Returns the data of a run that the leader may not hold yet. */
function runDelta(
  { id, progress, confirmedLines }: IHostedRun,
): RunDelta {
  return {
    run: id,
    from: confirmedLines,
    data: progress.data.slice(confirmedLines),
    lastEventId: progress.lastEventId,
  };
}
