import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const platformListUnreadable = defineEvent(
  500,
  "platform-list-unreadable",
  {
    level: "warn",
    help: "Reading the platform's target list failed. Until it succeeds " +
      "again, this instance learns from other instances which targets are " +
      "leaving.",
    fields: { address: z.string(), reason: z.string() },
  },
);

export const platformListRestored = defineEvent(
  501,
  "platform-list-restored",
  {
    level: "info",
    help: "The platform's target list can be read again.",
    fields: {},
  },
);

export const memberHealthChanged = defineEvent(502, "member-health-changed", {
  level: "info",
  help: "The leader changed the health of an instance. A suspect instance " +
    "missed heartbeats; a lost instance gets no more work.",
  fields: { member: z.string(), health: z.string() },
});

export const leavingTargetDoubted = defineEvent(
  503,
  "leaving-target-doubted",
  {
    level: "warn",
    help: "For a long time, fewer than half of the instances have reported " +
      "the target as leaving; it gets work again. Check the platform's " +
      "target list at the instances that report it.",
    fields: { target: z.string(), reporters: z.number() },
  },
);

export const servingRefused = defineEvent(504, "serving-refused", {
  level: "error",
  help: "This instance cannot determine whether a newer configuration " +
    "exists. It is not ready and refuses callers until it reaches the " +
    "leader, a quorum of voters or half of the fleet. Check its network.",
  fields: { version: z.number(), reason: z.string() },
});

export const servingResumed = defineEvent(505, "serving-resumed", {
  level: "info",
  help: "This instance has the newest configuration and serves callers.",
  fields: { version: z.number() },
});
