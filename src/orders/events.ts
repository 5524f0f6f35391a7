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
    "again, and the order is repeated if it is still needed.",
  fields: { engine: z.string(), order: z.string(), reason: z.string() },
});

export const orderRefused = defineEvent(602, "order-refused", {
  level: "warn",
  help: "An engine refused an order because it has received a higher fencing " +
    "number: another instance is the leader now, or another system gives " +
    "orders to the engine.",
  fields: { engine: z.string(), order: z.string(), fencingNumber: z.number() },
});

export const engineUnreadable = defineEvent(603, "engine-unreadable", {
  level: "debug",
  help: "Reading the state of an engine failed; it is retried.",
  fields: { engine: z.string(), reason: z.string() },
});
