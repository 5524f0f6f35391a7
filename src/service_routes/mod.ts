export * from "./caller_authenticator.ts";
export * from "./key_permission.ts";
export * from "./messages.ts";
export * from "./route_table.ts";
export * from "./routes_holder.ts";
export * from "./routes_section.ts";
export * from "./types.ts";
