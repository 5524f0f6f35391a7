export * from "./break_off.ts";
export * from "./drain.ts";
export * from "./http_edge.ts";
export * from "./metrics_listener.ts";
export * from "./output_budget.ts";
export * from "./readiness.ts";
export * from "./response_sink.ts";
