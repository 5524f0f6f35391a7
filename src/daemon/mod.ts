export * from "./events.ts";
export * from "./graceful_stop.ts";
export * from "./instance_metrics.ts";
export * from "./types.ts";
