import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const leaseExpired = defineEvent(800, "item-lease-expired", {
  level: "warn",
  help: "An instance did not renew its lease on batch items, so they go to " +
    "others; non-idempotent ones end as may-have-run. Check the holder if " +
    "it was not stopped.",
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
  help: "Results of batch items wait in memory because the control leader " +
    "does not record them; no new items are taken until it does.",
  fields: { outcomes: z.number() },
});
