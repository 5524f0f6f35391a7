export * from "./link_monitor.ts";
export * from "./types.ts";
