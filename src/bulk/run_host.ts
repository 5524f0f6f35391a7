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

/** Time without its leader's answer after which a run is stopped, in ms. */
const LEADER_TIMEOUT_MILLISECONDS = 1_500;

interface IHostedRun {
  readonly id: string;
  readonly term: number;
  readonly progress: IItemProgress;
  readonly abort: AbortController;
  /** Number of lines of data that the leader is known to hold. */
  confirmedLines: number;
  leaderAnsweredAt: Deadline;
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

  constructor(options: IRunHostOptions) {
    const { server, log, clock } = options;
    this.#options = options;
    this.#disposables.add(
      server.handle(runItemMethod, async (params) => {
        const { run: id, term, engine, host, lastEventId } = params;
        const item = "job" in params.item
          ? options.section.findOpenItem(params.item.job, params.item.id)
          : params.item;
        const run: IHostedRun = {
          ...{ id, term },
          progress: { data: [], lastEventId },
          abort: new AbortController(),
          confirmedLines: 0,
          leaderAnsweredAt: clock.monotonic(),
        };
        const abandon = (reason: string) =>
          ok({
            outcome: { kind: "abandoned" as const, reason },
            delta: runDelta(run),
          });
        if (!item) return abandon(`${options.store} does not hold the item`);
        const current = log.leadership.term;
        if (term < current) {
          return abandon(`term ${term} has ended, the log is in ${current}`);
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
    const reported = [...this.#runs.values()];
    const deltas = reported.map(runDelta);
    const answer = await control.call(reportRunsMethod, { store, deltas }, {
      deadline: clock.deadlineIn(REPORT_TIMEOUT_MILLISECONDS),
    });
    if (answer.isOk()) this.#applyAnswer(reported, answer.value);
    const earliest = clock.monotonic() - LEADER_TIMEOUT_MILLISECONDS;
    this.#stopRuns(({ leaderAnsweredAt }) => leaderAnsweredAt < earliest);
  }

  /**
   * Records what the leader holds of the reported runs, and stops those that
   * their leader does not want or know any more.
   */
  #applyAnswer(
    reported: readonly IHostedRun[],
    { term, runs = [] }: ReportAnswer,
  ): void {
    const now = this.#options.clock.monotonic();
    const known = new Map(runs.map((it) => [it.run, it]));
    for (const run of reported) {
      // The answer of an earlier leader says nothing about the run.
      if (term !== undefined && term < run.term) continue;
      run.leaderAnsweredAt = now;
      // Leaders of earlier versions name no runs; all data is sent to them
      // with each report.
      if (term === undefined) continue;
      const state = term === run.term ? known.get(run.id) : undefined;
      if (state) {
        run.confirmedLines = Math.max(run.confirmedLines, state.heldLines);
      }
      if (!state?.isWanted) run.abort.abort();
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
