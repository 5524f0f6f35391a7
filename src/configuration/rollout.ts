import type { Rollout } from "./messages.ts";
import type { IAudience, IRolloutInstance } from "./types.ts";

/** Sorts the instances by whether they have a version in force. */
export function rolloutOf(version: number, audience: IAudience): Rollout {
  const rollout: Rollout = { version, inForce: [], missing: [], lost: [] };
  for (const member of audience.members) {
    const { id, health } = member;
    if (health === "lost") {
      rollout.lost.push(id);
    } else if (member.configurationVersion >= version) {
      rollout.inForce.push(id);
    } else {
      const reason = reasonOf(member, audience.silenceOf(id));
      rollout.missing.push({ id, reason });
    }
  }
  return rollout;
}

function reasonOf(member: IRolloutInstance, silence: number): string {
  const { configurationVersion, health } = member;
  const inForce = configurationVersion === 0
    ? "no configuration in force yet"
    : `version ${configurationVersion} in force`;
  if (health === "live") return inForce;
  return `${inForce}; not heard for ${silence.toFixed(1)} s`;
}
