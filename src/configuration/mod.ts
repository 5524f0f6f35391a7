export * from "./configuration_handlers.ts";
export * from "./configuration_holder.ts";
export * from "./configuration_section.ts";
export * from "./configuration_view.ts";
export * from "./messages.ts";
export * from "./schema.ts";
export * from "./types.ts";
