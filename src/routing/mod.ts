export * from "./balanced_selector.ts";
export * from "./load_report_poller.ts";
export * from "./random.ts";
export * from "./target_health.ts";
export * from "./types.ts";
