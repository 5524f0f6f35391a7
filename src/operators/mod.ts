export * from "./query_members.ts";
export * from "./configuration_routes.ts";
export * from "./messages.ts";
export * from "./operators_server.ts";
export * from "./report_routes.ts";
export * from "./status_routes.ts";
export * from "./types.ts";
export * from "./voter_routes.ts";
