import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const routesInForce = defineEvent(1000, "routes-in-force", {
  level: "info",
  help: "Another version of the routes is now in force at this instance.",
  fields: {
    version: z.number(),
    previous: z.number(),
    routes: z.number(),
    callers: z.number(),
  },
});

export const keyPermissionChanged = defineEvent(
  1001,
  "key-permission-changed",
  {
    level: "warn",
    help: "This instance may or may no longer rely on the callers' keys that " +
      "it knows. Without permission it answers requests that need a key with " +
      "503, because a key may have been withdrawn in the meantime.",
    fields: {
      isValid: z.boolean(),
      version: z.number(),
      /** Time since the leader confirmed the version as the newest. */
      ageMilliseconds: z.number().optional(),
    },
    labels: ["isValid"],
  },
);

export const requestUnauthorized = defineEvent(1002, "request-unauthorized", {
  level: "info",
  help: "A request needed a key and was refused: no caller holds its key, or " +
    "this instance may not rely on the keys that it knows. It did not run.",
  fields: {
    request: z.string(),
    outcome: z.enum(["unknown-key", "unconfirmed"]),
    /** Whether the request had a key. */
    hasKey: z.boolean(),
    version: z.number(),
    /** Time since the leader confirmed the version as the newest. */
    ageMilliseconds: z.number().optional(),
  },
  labels: ["outcome"],
});

export const routesUndecodable = defineEvent(1003, "routes-undecodable", {
  level: "error",
  help:
    "Routes that an earlier version of figroad accepted cannot be decoded " +
    "by this version; the previous ones stay in force at this instance.",
  fields: { version: z.number(), kept: z.number() },
});

export const routesUnconfirmed = defineEvent(1004, "routes-unconfirmed", {
  level: "warn",
  help: "No leader has confirmed for a while that the routes in force here " +
    "are the newest. `contactMilliseconds` is the time since a leader last " +
    "answered at all: if it is short, the leader's own state is behind.",
  fields: {
    version: z.number(),
    ageMilliseconds: z.number().optional(),
    contactMilliseconds: z.number(),
  },
});

export const routesConfirmed = defineEvent(1005, "routes-confirmed", {
  level: "info",
  help: "The leader confirms the routes in force here as the newest again.",
  fields: { version: z.number(), unconfirmedMilliseconds: z.number() },
});

export const routesRead = defineEvent(1006, "routes-read", {
  level: "info",
  help: "A store had newer routes while no leader confirmed those in force " +
    "here; they are in force now.",
  fields: { store: z.string(), version: z.number(), previous: z.number() },
});
