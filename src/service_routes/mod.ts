export * from "./messages.ts";
export * from "./route_table.ts";
export * from "./routes_holder.ts";
export * from "./routes_section.ts";
export * from "./types.ts";
