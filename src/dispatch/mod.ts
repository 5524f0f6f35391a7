export * from "./dispatcher.ts";
export * from "./plain_dispatcher.ts";
export * from "./prompt_text.ts";
export * from "./stream_timing.ts";
export * from "./types.ts";
