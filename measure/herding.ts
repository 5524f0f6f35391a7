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

/** Simulated time of a run, and the part before counting, in milliseconds. */
const RUN_MILLISECONDS = 20_000;
const WARM_UP_MILLISECONDS = 3_000;

/** Mean duration of a stream, in milliseconds. */
const MEAN_STREAM_MILLISECONDS = 1_000;

/** Streams in progress on average, half of the engines' capacity. */
const MEAN_STREAMS = 128;

/** Age up to which instances know the streams of others, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 100;

/** Streams that arrive at once in a burst, and time between two bursts. */
const BURST_STREAMS = 96;
const BURST_INTERVAL_MILLISECONDS = 2_500;

/** Result of one way to choose engines. */
export interface IHerdingResult {
  readonly variant: string;
  /** Streams on the fullest engine above the mean, over the run. */
  readonly excessP50: number;
  readonly excessP99: number;
  /** Most streams on one engine. */
  readonly largestCount: number;
  /** Share of streams that began on an engine above its 32 streams. */
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

/** Streams by instance and engine, and what instances last heard of them. */
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
  parts: { clock: IClock; seed: number },
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
  "least own count": (streams) => (instance) =>
    leastLoaded((engine) => streams.ownStreams(instance, engine)),
  "least of all, others heard": (streams) => (instance) =>
    leastLoaded((engine) =>
      streams.ownStreams(instance, engine) +
      streams.otherStreams(instance, engine)
    ),
  "figroad, others unheard": (streams, parts) =>
    figroad(streams, parts, { receivesReports: false }),
  "figroad, others heard": (streams, parts) =>
    figroad(streams, parts, { receivesReports: true }),
};

/** Runs every variant over every seed; medians over the seeds. */
export function measureHerding(seeds: readonly number[]): IHerdingResult[] {
  return Object.entries(VARIANTS).map(([variant, build]) => {
    const runs = seeds.map((seed) => simulate(build, seed));
    const pick = (read: (run: IRun) => number) => median(runs.map(read));
    return {
      variant,
      excessP50: pick(({ excess }) => quantile(excess, 0.5)),
      excessP99: pick(({ excess }) => quantile(excess, 0.99)),
      largestCount: pick(({ largestCount }) => largestCount),
      queuedShare: pick(({ queued, begun }) => queued / begun),
    };
  });
}

interface IRun {
  excess: number[];
  largestCount: number;
  queued: number;
  begun: number;
}

function simulate(build: ChooserFactory, seed: number): IRun {
  const clock = new SimulatedClock();
  const streams = new StreamCounts();
  const choose = build(streams, { clock, seed });
  const random = new SeededRandom(seed + 1_000);
  const ends: { at: number; instance: number; engine: number }[][] = [];
  const run: IRun = { excess: [], largestCount: 0, queued: 0, begun: 0 };
  const arrivals = MEAN_STREAMS / MEAN_STREAM_MILLISECONDS;
  for (clock.now = 0; clock.now < RUN_MILLISECONDS; clock.now++) {
    for (const end of ends[clock.now] ?? []) {
      streams.add(end.instance, end.engine, -1);
    }
    if (clock.now % REPORT_INTERVAL_MILLISECONDS === 0) {
      streams.publish(clock.monotonic());
    }
    let count = poisson(arrivals, random);
    if (clock.now % BURST_INTERVAL_MILLISECONDS === 0) count += BURST_STREAMS;
    for (; count > 0; count--) {
      const instance = random.below(INSTANCES);
      const engine = choose(instance);
      streams.add(instance, engine, 1);
      const duration = 1 + random.below(2 * MEAN_STREAM_MILLISECONDS);
      const at = clock.now + duration;
      (ends[at] ??= []).push({ at, instance, engine });
      run.begun += 1;
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
  parts: { clock: IClock; seed: number },
  options: { receivesReports: boolean },
): EngineChooser {
  const ports = ENGINE_INDEXES.map((index) => index + 1);
  const configuration: IConfigurationSource = configurationOf(ports);
  const selectors = Array.from({ length: INSTANCES }, (_, instance) => {
    const random = new SeededRandom(parts.seed * INSTANCES + instance);
    const { clock } = parts;
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
