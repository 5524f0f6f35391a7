import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const requestCrashed = defineEvent(700, "request-crashed", {
  level: "error",
  help: "Answering a request failed in an unexpected way. The caller got an " +
    "internal error with the verdict may-have-run. Report it as a fault.",
  fields: { request: z.string(), error: z.string() },
});
