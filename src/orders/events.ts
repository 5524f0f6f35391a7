import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const orderCarriedOut = defineEvent(600, "order-carried-out", {
  level: "info",
  help: "An engine carried out an order of this instance.",
  fields: { engine: z.string(), order: z.string(), fencingNumber: z.number() },
});

export const orderFailed = defineEvent(601, "order-failed", {
  level: "warn",
  help:
    "An order failed or its outcome is unknown. The engine's state is read " +
    "back and the order is given again if it is still needed.",
  fields: { engine: z.string(), order: z.string(), reason: z.string() },
});

export const orderRefused = defineEvent(602, "order-refused", {
  level: "warn",
  help: "An engine has seen a higher fencing number: another instance leads " +
    "by now, or another system gives orders to the engine.",
  fields: { engine: z.string(), order: z.string(), fencingNumber: z.number() },
});

export const engineUnreadable = defineEvent(603, "engine-unreadable", {
  level: "debug",
  help: "An engine did not tell what it serves; it is asked again.",
  fields: { engine: z.string(), reason: z.string() },
});
