export * from "./live_activity.ts";
export * from "./local_load_view.ts";
export * from "./types.ts";
