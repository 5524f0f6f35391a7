export * from "./counting_event_log.ts";
export * from "./latency_histogram.ts";
export * from "./metrics.ts";
export * from "./process_metrics.ts";
export * from "./timing_event_log.ts";
export * from "./types.ts";
