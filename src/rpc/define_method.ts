import type { z } from "zod";
import type { IRpcMethod, RpcLane } from "./types.ts";

/** Defines a method. Each folder of `src` has its own in `messages.ts`. */
export function defineMethod<P extends z.ZodType, R extends z.ZodType>(
  name: string,
  options: { params: P; result: R; lane?: RpcLane; mayWait?: boolean },
): IRpcMethod<P, R> {
  return { name, ...options };
}
