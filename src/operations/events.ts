import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const operationsFull = defineEvent(900, "operations-full", {
  level: "warn",
  help: "A non-idempotent request was refused because the limit of " +
    "operation records, in total or for its caller, is reached. Records are " +
    "kept for one hour. Ask the caller to mark requests as non-idempotent " +
    "only where necessary.",
  fields: { caller: z.string() },
});

export const operationUnrecorded = defineEvent(901, "operation-unrecorded", {
  level: "warn",
  help: "The outcome of a non-idempotent request could not be recorded. " +
    "Requests with the same key are answered with 409 until the record " +
    "expires; the request itself is not run again. Check the control voters.",
  fields: {
    caller: z.string(),
    key: z.string(),
    kind: z.string(),
    reason: z.string(),
  },
});

export const recordLost = defineEvent(902, "operations-record-lost", {
  level: "error",
  help: "No quorum of the control voters answers. Until one does, " +
    "non-idempotent requests are refused immediately and not run.",
  fields: { reason: z.string() },
});

export const recordReached = defineEvent(903, "operations-record-reached", {
  level: "info",
  help: "A quorum of the control voters answers again. Non-idempotent " +
    "requests are accepted again.",
  fields: { silenceMilliseconds: z.number() },
});
