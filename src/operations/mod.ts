export * from "./messages.ts";
export * from "./operation_ledger.ts";
export * from "./operations_section.ts";
export * from "./types.ts";
