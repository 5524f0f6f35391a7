export * from "./generation_error.ts";
export * from "./http_engine_adapter.ts";
export * from "./http_plain_adapter.ts";
export * from "./open_connection.ts";
export * from "./types.ts";
