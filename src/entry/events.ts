import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const requestCrashed = defineEvent(700, "request-crashed", {
  level: "error",
  help: "An unexpected error occurred while handling a request. The caller " +
    "received an internal error with the verdict may-have-run. Report it " +
    "as a bug.",
  fields: { request: z.string(), error: z.string() },
});
