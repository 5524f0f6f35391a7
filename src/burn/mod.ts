export * from "./burn_page.ts";
export * from "./burn_report.ts";
export * from "./burn_reporter.ts";
export * from "./merge_series.ts";
export * from "./messages.ts";
export * from "./service_level_recorder.ts";
export * from "./types.ts";
