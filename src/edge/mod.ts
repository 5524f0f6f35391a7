export * from "./http_edge.ts";
export * from "./response_sink.ts";
