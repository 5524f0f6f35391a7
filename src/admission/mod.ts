export * from "./fleet_admission.ts";
export * from "./latency_estimates.ts";
export * from "./limit_owners.ts";
export * from "./retry_budget.ts";
export * from "./service_gate.ts";
export * from "./types.ts";
