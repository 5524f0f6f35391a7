export * from "./engine_relay.ts";
export * from "./engine_router.ts";
export * from "./link_monitor.ts";
export * from "./messages.ts";
export * from "./relay_directory.ts";
export * from "./relay_error.ts";
export * from "./types.ts";
