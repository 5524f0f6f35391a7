import { createHash } from "node:crypto";

/** SHA-256 of an API key in hexadecimal, by which keys are stored. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
