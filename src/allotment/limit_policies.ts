import { match } from "ts-pattern";
import { ConcentratingPolicy } from "./concentrating_policy.ts";
import { FixedSharePolicy } from "./fixed_share_policy.ts";
import { LearnedLimitPolicy } from "./learned_limit_policy.ts";
import { SpareSlotsPolicy } from "./spare_slots_policy.ts";
import type { IBatchLimitPolicy } from "./types.ts";
import { UnlimitedPolicy } from "./unlimited_policy.ts";

/** Names of the policies in the settings. */
export type BatchLimitPolicyName =
  | "spare-slots"
  | "learned"
  | "concentrating"
  | "fixed-share"
  | "unlimited";

/** Creates the policy with the given name. */
export function createLimitPolicy(
  name: BatchLimitPolicyName,
): IBatchLimitPolicy {
  return match(name)
    .with("spare-slots", () => new SpareSlotsPolicy())
    .with("learned", () => new LearnedLimitPolicy(new SpareSlotsPolicy()))
    .with(
      "concentrating",
      () => new ConcentratingPolicy(new SpareSlotsPolicy()),
    )
    .with("fixed-share", () => new FixedSharePolicy())
    .with("unlimited", () => new UnlimitedPolicy())
    .exhaustive();
}
