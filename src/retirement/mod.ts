export * from "./messages.ts";
export * from "./retirement_handlers.ts";
export * from "./retirement_section.ts";
