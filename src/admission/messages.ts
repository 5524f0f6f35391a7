import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** What an instance wants of the part of a limit that is lent out. */
export const borrowingSchema = z.object({
  caller: z.string(),
  /** Instances that the borrower divides the limit by. */
  instances: z.number(),
  /** Requests that wait for a loan; 0 when slots alone are wanted. */
  requests: z.number(),
  /** Slots that the borrower wants to hold in all. */
  slots: z.number(),
});
export type Borrowing = z.infer<typeof borrowingSchema>;

/** What the owner of a caller's limits lends. */
export const loanSchema = z.object({
  /** Requests that may be admitted, once. */
  requests: z.number(),
  /** Slots that may be held until the loan ends. */
  slots: z.number(),
});
export type Loan = z.infer<typeof loanSchema>;

/** Borrows from the owner of a caller's limits. */
export const borrowMethod = defineMethod("admission.borrow", {
  params: borrowingSchema,
  result: loanSchema,
});
