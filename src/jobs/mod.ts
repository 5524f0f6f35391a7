export * from "./job_gateway.ts";
export * from "./job_runner.ts";
export * from "./jobs_handlers.ts";
export * from "./jobs_section.ts";
export * from "./lease_manager.ts";
export * from "./messages.ts";
export * from "./types.ts";
