import {
  type EventLoopUtilization,
  monitorEventLoopDelay,
  performance,
} from "node:perf_hooks";
import process from "node:process";
import type { IDisposable } from "../common/mod.ts";
import type { IMetrics } from "./types.ts";

const MICROSECONDS_PER_SECOND = 1_000_000;

const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Interval at which the delay of the event loop is sampled. */
const EVENT_LOOP_RESOLUTION_MILLISECONDS = 200;

/** Defines the process metrics; disposing of the result stops sampling. */
export function defineProcessMetrics(metrics: IMetrics): IDisposable {
  metrics.gauge(
    "process_cpu_seconds_total",
    "Processor time of the process, in seconds.",
    () => {
      const { user, system } = process.cpuUsage();
      return [{ value: (user + system) / MICROSECONDS_PER_SECOND }];
    },
  );
  metrics.gauge(
    "process_resident_memory_bytes",
    "Resident memory of the process, in bytes.",
    () => [{ value: process.memoryUsage.rss() }],
  );
  metrics.gauge(
    "process_heap_used_bytes",
    "Memory in use on the JavaScript heap, in bytes.",
    () => [{ value: process.memoryUsage().heapUsed }],
  );
  metrics.gauge(
    "process_uptime_seconds",
    "Time since the process started, in seconds.",
    () => [{ value: process.uptime() }],
  );
  return defineEventLoopMetrics(metrics);
}

function defineEventLoopMetrics(metrics: IMetrics): IDisposable {
  const delay = monitorEventLoopDelay({
    resolution: EVENT_LOOP_RESOLUTION_MILLISECONDS,
  });
  delay.enable();
  let previous: EventLoopUtilization = performance.eventLoopUtilization();
  metrics.gauge(
    "process_event_loop_delay_milliseconds",
    "Delay of the event loop since metrics were last read, by quantile.",
    () => {
      const readings = [50, 99, 100].map((percentage) => ({
        value: excessDelay(delay.percentile(percentage)),
        labels: { quantile: String(percentage / 100) },
      }));
      delay.reset();
      return readings;
    },
  );
  metrics.gauge(
    "process_event_loop_utilization",
    "Share of time since metrics were last read in which the loop was busy.",
    () => {
      const now = performance.eventLoopUtilization();
      const { utilization } = performance.eventLoopUtilization(now, previous);
      previous = now;
      return [{ value: utilization }];
    },
  );
  return { dispose: () => delay.disable() };
}

/** Node measures the time between samples; only the excess is a delay. */
function excessDelay(nanoseconds: number): number {
  const milliseconds = nanoseconds / NANOSECONDS_PER_MILLISECOND;
  return Math.max(0, milliseconds - EVENT_LOOP_RESOLUTION_MILLISECONDS);
}
