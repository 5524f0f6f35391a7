export * from "./always_available.ts";
export * from "./heartbeat.ts";
export * from "./member_registry.ts";
export * from "./messages.ts";
export * from "./types.ts";
