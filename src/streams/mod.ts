export * from "./event_splitter.ts";
export * from "./retry_detector.ts";
export * from "./stream_attempt.ts";
export * from "./stream_dispatcher.ts";
export * from "./stream_origin_resolver.ts";
export * from "./types.ts";
