import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const platformListUnreadable = defineEvent(
  500,
  "platform-list-unreadable",
  {
    level: "warn",
    help: "The platform's list could not be read. Targets that leave are " +
      "learnt from other instances until it can be read again.",
    fields: { address: z.string(), reason: z.string() },
  },
);

export const platformListRestored = defineEvent(
  501,
  "platform-list-restored",
  {
    level: "info",
    help: "The platform's list can be read again.",
    fields: {},
  },
);

export const memberHealthChanged = defineEvent(502, "member-health-changed", {
  level: "info",
  help: "The leader's opinion of an instance changed. A suspect instance " +
    "missed heartbeats; a lost one is taken out of the fleet's work.",
  fields: { member: z.string(), health: z.string() },
});

export const leavingTargetDoubted = defineEvent(
  503,
  "leaving-target-doubted",
  {
    level: "warn",
    help: "Few instances have said for a long time that a target is leaving; " +
      "it gets work again. Check the platform's list at those instances.",
    fields: { target: z.string(), reporters: z.number() },
  },
);

export const servingRefused = defineEvent(504, "serving-refused", {
  level: "error",
  help: "This instance cannot learn whether a newer configuration exists. It " +
    "is not ready and refuses callers until it reaches the leader, a quorum " +
    "of voters or half of the fleet. Check its network.",
  fields: { version: z.number(), reason: z.string() },
});

export const servingResumed = defineEvent(505, "serving-resumed", {
  level: "info",
  help: "This instance has the newest configuration and serves callers.",
  fields: { version: z.number() },
});
