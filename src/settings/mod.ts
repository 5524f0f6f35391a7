export * from "./load_document.ts";
export * from "./schema.ts";
