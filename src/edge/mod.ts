export * from "./http_edge.ts";
export * from "./metrics_listener.ts";
export * from "./response_sink.ts";
