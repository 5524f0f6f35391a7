export * from "./cache_transfer.ts";
export * from "./messages.ts";
export * from "./order_issuer.ts";
export * from "./order_reconciler.ts";
export * from "./types.ts";
