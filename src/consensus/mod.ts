export * from "./control_client.ts";
export * from "./messages.ts";
export * from "./single_voter_log.ts";
export * from "./types.ts";
