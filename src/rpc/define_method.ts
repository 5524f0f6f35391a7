import type { z } from "zod";
import type { IRpcMethod } from "./types.ts";

/** Defines a method; each slice keeps its own in `messages.ts`. */
export function defineMethod<P extends z.ZodType, R extends z.ZodType>(
  name: string,
  schemas: { params: P; result: R },
): IRpcMethod<P, R> {
  return { name, ...schemas };
}
