export * from "./start_daemon.ts";
