import type { Rollout } from "./messages.ts";
import type { IFleetHealth, IRolloutInstance } from "./types.ts";

/** Groups the instances by whether a version is in force at them. */
export function computeRollout(version: number, fleet: IFleetHealth): Rollout {
  const rollout: Rollout = { version, inForce: [], missing: [], lost: [] };
  for (const member of fleet.members) {
    const { id, health } = member;
    if (health === "lost") {
      rollout.lost.push(id);
    } else if (member.configurationVersion >= version) {
      rollout.inForce.push(id);
    } else {
      const reason = missingReason(member, fleet.secondsSinceHeartbeat(id));
      rollout.missing.push({ id, reason });
    }
  }
  return rollout;
}

function missingReason(
  member: IRolloutInstance,
  secondsSinceHeartbeat: number,
): string {
  const { configurationVersion, health } = member;
  const inForce = configurationVersion === 0
    ? "no configuration in force yet"
    : `version ${configurationVersion} in force`;
  if (health === "live") return inForce;
  return `${inForce}; no heartbeat for ${secondsSinceHeartbeat.toFixed(1)} s`;
}
