export * from "./event_splitter.ts";
export * from "./returned_callers.ts";
export * from "./stream_attempt.ts";
export * from "./stream_dispatcher.ts";
export * from "./types.ts";
