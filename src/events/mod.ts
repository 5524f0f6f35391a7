export * from "./define_event.ts";
export * from "./event_log.ts";
export * from "./json_line_log.ts";
export * from "./silent_event_log.ts";
export * from "./types.ts";
