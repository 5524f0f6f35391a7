export * from "./latency_histogram.ts";
export * from "./metrics_event_log.ts";
export * from "./metrics.ts";
export * from "./process_metrics.ts";
export * from "./types.ts";
