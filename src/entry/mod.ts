export * from "./batches_endpoint.ts";
export * from "./callers_server.ts";
export * from "./files_endpoint.ts";
export * from "./generation_endpoint.ts";
export * from "./live_recorder.ts";
export * from "./models_endpoint.ts";
export * from "./plain_endpoint.ts";
export * from "./types.ts";
