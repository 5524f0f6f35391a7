export * from "./define_method.ts";
export * from "./rpc_client.ts";
export * from "./rpc_server.ts";
export * from "./types.ts";
