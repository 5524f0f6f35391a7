import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const leaseExpired = defineEvent(800, "item-lease-expired", {
  level: "warn",
  help: "An instance did not renew its lease on batch items in time. " +
    "Idempotent items are retried; non-idempotent items end as " +
    "may-have-run. Check the holder unless it was stopped on purpose.",
  fields: { holder: z.string(), items: z.number() },
});

export const leaseLost = defineEvent(801, "item-lease-lost", {
  level: "warn",
  help: "This instance could not renew its lease in time and stopped its " +
    "batch items. Check its connection to the control leader.",
  fields: { items: z.number() },
});

export const outcomesWaiting = defineEvent(802, "outcomes-waiting", {
  level: "warn",
  help: "Results of batch items are buffered in memory because the control " +
    "leader does not record them. No new items are leased until it does.",
  fields: { outcomes: z.number() },
});
