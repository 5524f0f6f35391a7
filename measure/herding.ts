import type { IEngineLoadView } from "../src/allotment/mod.ts";
import type { Deadline, IClock } from "../src/common/mod.ts";
import type { IConfigurationSource } from "../src/configuration/mod.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import {
  BalancedSelector,
  SeededRandom,
  TargetHealth,
} from "../src/routing/mod.ts";
import {
  alwaysAvailable,
  configurationOf,
  noReports,
} from "../testing/dispatcher_fixture.ts";
import { median, quantile } from "./statistics.ts";

const INSTANCES = 12;
const ENGINES = 8;

/** Simulated duration of a run, and its part before measurement begins. */
const RUN_MILLISECONDS = 20_000;
const WARM_UP_MILLISECONDS = 3_000;

const MEAN_STREAM_MILLISECONDS = 1_000;

/** Mean number of open streams, half of the engines' capacity. */
const MEAN_STREAMS = 128;

/** Update interval and maximum age of the counts of other instances. */
const REPORT_INTERVAL_MILLISECONDS = 100;

/** Streams that start at once in a burst, and the time between bursts. */
const BURST_STREAMS = 96;
const BURST_INTERVAL_MILLISECONDS = 2_500;

/** Result of one strategy for choosing engines. */
export interface IHerdingResult {
  readonly variant: string;
  /** Streams on the most loaded engine above the mean; quantile of the run. */
  readonly excessP50: number;
  readonly excessP99: number;
  /** Largest number of streams on one engine. */
  readonly largestCount: number;
  /** Share of streams whose engine then exceeds its limit of 32 streams. */
  readonly queuedShare: number;
}

class SimulatedClock implements IClock {
  now = 0;
  monotonic = () => this.now as Deadline;
  wall = () => this.now;
  deadlineIn = (milliseconds: number) => (this.now + milliseconds) as Deadline;
  remaining = (deadline: Deadline) => Math.max(0, deadline - this.now);
  isPast = (deadline: Deadline) => this.now >= deadline;
  sleepUntil = () => Promise.resolve();
}

/** Stream counts by instance and engine, and the counts last published. */
class StreamCounts {
  readonly counts = emptyCounts();
  publishedCounts = emptyCounts();
  publishedAt = 0 as Deadline;
  readonly totals = new Array<number>(ENGINES).fill(0);

  add(instance: number, engine: number, difference: number): void {
    const row = this.counts[instance];
    if (row) row[engine] = (row[engine] ?? 0) + difference;
    this.totals[engine] = (this.totals[engine] ?? 0) + difference;
  }

  publish(now: Deadline): void {
    this.publishedAt = now;
    this.publishedCounts = this.counts.map((row) => [...row]);
  }

  ownStreams(instance: number, engine: number): number {
    return this.counts[instance]?.[engine] ?? 0;
  }

  otherStreams(instance: number, engine: number): number {
    return this.publishedCounts.reduce(
      (sum, row, index) => index === instance ? sum : sum + (row[engine] ?? 0),
      0,
    );
  }
}

type EngineChooser = (instance: number) => number;
type ChooserFactory = (
  streams: StreamCounts,
  context: { clock: IClock; seed: number },
) => EngineChooser;

const ENGINE_INDEXES = Array.from({ length: ENGINES }, (_, index) => index);

const VARIANTS: Record<string, ChooserFactory> = {
  "random": (_streams, { seed }) => {
    const random = new SeededRandom(seed);
    return () => random.below(ENGINES);
  },
  "round robin": (_streams, { seed }) => {
    const random = new SeededRandom(seed);
    const next = Array.from(
      { length: INSTANCES },
      () => random.below(ENGINES),
    );
    return (instance) => {
      next[instance] = ((next[instance] ?? 0) + 1) % ENGINES;
      return next[instance] ?? 0;
    };
  },
  "fewest own streams": (streams) => (instance) =>
    leastLoaded((engine) => streams.ownStreams(instance, engine)),
  "fewest known streams": (streams) => (instance) =>
    leastLoaded((engine) =>
      streams.ownStreams(instance, engine) +
      streams.otherStreams(instance, engine)
    ),
  "figroad, without load reports": (streams, context) =>
    figroad(streams, context, { receivesReports: false }),
  "figroad, with load reports": (streams, context) =>
    figroad(streams, context, { receivesReports: true }),
};

/** Runs each variant with each seed; returns medians over the seeds. */
export function measureHerding(seeds: readonly number[]): IHerdingResult[] {
  return Object.entries(VARIANTS).map(([variant, build]) => {
    const runs = seeds.map((seed) => simulate(build, seed));
    const medianOf = (read: (run: IRun) => number) => median(runs.map(read));
    return {
      variant,
      excessP50: medianOf(({ excess }) => quantile(excess, 0.5)),
      excessP99: medianOf(({ excess }) => quantile(excess, 0.99)),
      largestCount: medianOf(({ largestCount }) => largestCount),
      queuedShare: medianOf(({ queued, started }) => queued / started),
    };
  });
}

interface IRun {
  excess: number[];
  largestCount: number;
  queued: number;
  started: number;
}

function simulate(build: ChooserFactory, seed: number): IRun {
  const clock = new SimulatedClock();
  const streams = new StreamCounts();
  const chooseEngine = build(streams, { clock, seed });
  const random = new SeededRandom(seed + 1_000);
  const completions: { at: number; instance: number; engine: number }[][] = [];
  const run: IRun = { excess: [], largestCount: 0, queued: 0, started: 0 };
  const arrivals = MEAN_STREAMS / MEAN_STREAM_MILLISECONDS;
  for (clock.now = 0; clock.now < RUN_MILLISECONDS; clock.now++) {
    for (const completion of completions[clock.now] ?? []) {
      streams.add(completion.instance, completion.engine, -1);
    }
    if (clock.now % REPORT_INTERVAL_MILLISECONDS === 0) {
      streams.publish(clock.monotonic());
    }
    let count = poisson(arrivals, random);
    if (clock.now % BURST_INTERVAL_MILLISECONDS === 0) count += BURST_STREAMS;
    for (; count > 0; count--) {
      const instance = random.below(INSTANCES);
      const engine = chooseEngine(instance);
      streams.add(instance, engine, 1);
      const duration = 1 + random.below(2 * MEAN_STREAM_MILLISECONDS);
      const at = clock.now + duration;
      (completions[at] ??= []).push({ at, instance, engine });
      run.started += 1;
      if ((streams.totals[engine] ?? 0) > 32) run.queued += 1;
    }
    if (clock.now < WARM_UP_MILLISECONDS) continue;
    const largestCount = Math.max(...streams.totals);
    const sum = streams.totals.reduce((total, value) => total + value, 0);
    run.excess.push(largestCount - sum / ENGINES);
    run.largestCount = Math.max(run.largestCount, largestCount);
  }
  return run;
}

function figroad(
  streams: StreamCounts,
  context: { clock: IClock; seed: number },
  options: { receivesReports: boolean },
): EngineChooser {
  const ports = ENGINE_INDEXES.map((index) => index + 1);
  const configuration: IConfigurationSource = configurationOf(ports);
  const selectors = Array.from({ length: INSTANCES }, (_, instance) => {
    const random = new SeededRandom(context.seed * INSTANCES + instance);
    const { clock } = context;
    const load: IEngineLoadView = {
      loadOf(engineId) {
        const engine = indexOf(engineId);
        return {
          ownLive: streams.ownStreams(instance, engine),
          otherLive: options.receivesReports
            ? streams.otherStreams(instance, engine)
            : 0,
          batch: 0,
          receivedAt: options.receivesReports ? streams.publishedAt : undefined,
          reported: undefined,
        };
      },
    };
    return new BalancedSelector(configuration, {
      clock,
      random,
      failureDomain: "a",
      activity: {
        liveStreams: () => 0,
        begin: () => ({ dispose: () => {} }),
        onChange: () => ({ dispose: () => {} }),
      },
      load,
      reports: noReports,
      health: new TargetHealth({
        clock,
        random,
        events: new SilentEventLog(),
      }),
      availability: alwaysAvailable,
    });
  });
  return (instance) => {
    const chosen = selectors[instance]?.select({
      service: "alerts",
      kind: "live",
      prompt: "p",
      exclude: new Set(),
    });
    return chosen?.isOk() ? indexOf(chosen.value.engine.id) : 0;
  };
}

function indexOf(engineId: string): number {
  return Number(engineId.slice("engine-".length));
}

function leastLoaded(count: (engine: number) => number): number {
  return ENGINE_INDEXES.reduce(
    (best, engine) => count(engine) < count(best) ? engine : best,
    0,
  );
}

function emptyCounts(): number[][] {
  return Array.from(
    { length: INSTANCES },
    () => new Array<number>(ENGINES).fill(0),
  );
}

function poisson(mean: number, random: SeededRandom): number {
  const limit = Math.exp(-mean);
  let product = random.below(1_000_000) / 1_000_000;
  let count = 0;
  while (product > limit) {
    product *= random.below(1_000_000) / 1_000_000;
    count += 1;
  }
  return count;
}
