export * from "./messages.ts";
export * from "./part_judge.ts";
export * from "./part_monitor.ts";
export * from "./request_content.ts";
export * from "./types.ts";
