export * from "./heartbeat_client.ts";
export * from "./http_platform_adapter.ts";
export * from "./member_registry.ts";
export * from "./messages.ts";
export * from "./serving_permission.ts";
export * from "./target_availability.ts";
export * from "./types.ts";
