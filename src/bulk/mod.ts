export * from "./bulk_handlers.ts";
export * from "./bulk_runner.ts";
export * from "./bulk_schedule.ts";
export * from "./bulk_section.ts";
export * from "./item_run.ts";
export * from "./messages.ts";
export * from "./types.ts";
