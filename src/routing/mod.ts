export * from "./least_loaded_selector.ts";
export * from "./types.ts";
