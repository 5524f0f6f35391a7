export * from "./explain_collector.ts";
export * from "./messages.ts";
export * from "./trace_recorder.ts";
export * from "./types.ts";
