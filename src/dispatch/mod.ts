export * from "./dispatcher.ts";
export * from "./prompt_text.ts";
export * from "./types.ts";
