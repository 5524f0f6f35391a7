export * from "./clock.ts";
export * from "./deadline.ts";
export * from "./disposable_store.ts";
export * from "./emitter.ts";
export * from "./failure.ts";
export * from "./invariant.ts";
export * from "./listen.ts";
export * from "./types.ts";
