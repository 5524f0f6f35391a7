import { err, ok, type Result } from "neverthrow";
import type { IEngineLoadView, ILiveActivity } from "../allotment/mod.ts";
import { type Failure, type IClock, notRun } from "../common/mod.ts";
import type { Engine, IConfigurationSource } from "../configuration/mod.ts";
import type { ITargetAvailability } from "../membership/mod.ts";
import { scoreEngine } from "./engine_score.ts";
import { PrefixRanking } from "./prefix_ranking.ts";
import { RecentSelections } from "./recent_selections.ts";
import type {
  IEngineReservation,
  IEngineSelector,
  ILoadReports,
  IRandom,
  ISelectionRequest,
  ITargetHealth,
} from "./types.ts";

/** Time after which a request may be retried when no engine is available. */
const RETRY_AFTER_SECONDS = 2;

/**
 * Number of engines sampled at random from this instance's failure domain, and
 * from the other failure domains.
 */
const SAMPLED_ENGINES = 2;

/** Dependencies of a `BalancedSelector`. */
export interface ISelectorOptions {
  readonly clock: IClock;
  readonly random: IRandom;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  readonly activity: ILiveActivity;
  readonly load: IEngineLoadView;
  readonly reports: ILoadReports;
  readonly health: ITargetHealth;
  readonly availability: ITargetAvailability;
}

/**
 * Chooses the least loaded of a few engines sampled at random.
 *
 * Many instances decide at the same time, on counts that are slightly out of
 * date. If each chose the least loaded of all engines, they would all choose
 * the same one (herding); random sampling prevents this.
 */
export class BalancedSelector implements IEngineSelector {
  #configuration: IConfigurationSource;
  #options: ISelectorOptions;
  #ranking = new PrefixRanking();
  #batchStreams = new Map<string, number>();
  #recentSelections = new RecentSelections();

  constructor(configuration: IConfigurationSource, options: ISelectorOptions) {
    this.#configuration = configuration;
    this.#options = options;
  }

  select(request: ISelectionRequest): Result<IEngineReservation, Failure> {
    this.#options.reports.markInUse(request.service);
    const engines = this.#configuration.current?.enginesOf(request.service);
    const candidates = this.#candidates(engines ?? [], request);
    const probeTarget = request.mayProbe
      ? candidates.find(({ id }) => this.#state(id) === "probe")
      : undefined;
    const engine = probeTarget ??
      this.#best(
        this.#sampleCandidates(candidates, engines ?? [], request),
        request,
      );
    if (engine) return ok(this.#reserve(engine, request));
    const reason = `no engine of ${request.service} is available`;
    return err(notRun("unavailable", reason, {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    }));
  }

  /** Engines that may be used; ejected ones only if there is no other. */
  #candidates(
    engines: readonly Engine[],
    request: ISelectionRequest,
  ): readonly Engine[] {
    const { availability } = this.#options;
    const usable = engines.filter(({ id }) =>
      !request.exclude.has(id) && availability.stateOf(id) !== "leaving"
    );
    const preferred = request.mayProbe
      ? usable.filter(({ id }) => this.#state(id) !== "ejected")
      : usable.filter(({ id }) => this.#state(id) === "healthy");
    return preferred.length > 0 ? preferred : usable;
  }

  #state(engineId: string) {
    return this.#options.health.stateOf(engineId);
  }

  /**
   * Samples engines in this failure domain and in others, and adds those that
   * probably have the prefix cached.
   */
  #sampleCandidates(
    candidates: readonly Engine[],
    engines: readonly Engine[],
    request: ISelectionRequest,
  ): { engine: Engine; isPreferred: boolean }[] {
    const preferred = this.#ranking.preferred(request.prompt, engines);
    const sameDomain = candidates.filter((engine) =>
      this.#isSameDomain(engine)
    );
    const otherDomains = candidates.filter((engine) =>
      !this.#isSameDomain(engine)
    );
    const sampled = new Set([
      ...this.#sample(sameDomain),
      ...this.#sample(otherDomains),
      ...candidates.filter(({ id }) => preferred.includes(id)),
    ]);
    return [...sampled].map((engine) => ({
      engine,
      isPreferred: preferred.includes(engine.id),
    }));
  }

  #isSameDomain(engine: Engine): boolean {
    return engine.failureDomain === this.#options.failureDomain;
  }

  #sample(engines: readonly Engine[]): Engine[] {
    const rest = [...engines];
    const sampled: Engine[] = [];
    while (sampled.length < SAMPLED_ENGINES && rest.length > 0) {
      sampled.push(...rest.splice(this.#options.random.below(rest.length), 1));
    }
    return sampled;
  }

  #best(
    sampled: readonly { engine: Engine; isPreferred: boolean }[],
    request: ISelectionRequest,
  ): Engine | undefined {
    let best: Engine | undefined;
    let bestScore = Infinity;
    for (const { engine, isPreferred } of sampled) {
      const score = this.#score(engine, request, isPreferred);
      if (score >= bestScore) continue;
      best = engine;
      bestScore = score;
    }
    return best;
  }

  #score(
    engine: Engine,
    request: ISelectionRequest,
    isPreferred: boolean,
  ): number {
    const load = this.#options.load.loadOf(engine.id);
    const ownBatch = this.#batchStreams.get(engine.id) ?? 0;
    const unreported = this.#recentSelections.estimateOthers(
      engine.id,
      load.receivedAt,
    );
    return scoreEngine({
      engine,
      kind: request.kind,
      load: {
        ...load,
        otherLive: load.otherLive + unreported,
        batch: Math.max(load.batch, ownBatch),
      },
      report: this.#options.reports.reportOf(engine.id),
      isSameDomain: this.#isSameDomain(engine),
      isPreferred,
      now: this.#options.clock.monotonic(),
    });
  }

  #reserve(engine: Engine, request: ISelectionRequest): IEngineReservation {
    const { health, activity, load } = this.#options;
    if (request.kind === "live") {
      this.#recentSelections.add(engine.id, load.loadOf(engine.id).receivedAt);
    }
    const probe = health.beginProbe(engine.id);
    const count = request.kind === "live"
      ? activity.begin(engine.id)
      : this.#countBatch(engine.id);
    return {
      engine,
      reportFirstToken: () => health.reportSuccess(engine.id),
      reportFailure: () => health.reportFailure(engine.id),
      dispose: () => {
        probe.dispose();
        count.dispose();
      },
    };
  }

  #countBatch(engineId: string): { dispose(): void } {
    const add = (difference: number) => {
      const count = (this.#batchStreams.get(engineId) ?? 0) + difference;
      this.#batchStreams.set(engineId, count);
    };
    add(1);
    let held = true;
    return {
      dispose: () => {
        if (held) add(-1);
        held = false;
      },
    };
  }
}
