import type { ITargetAvailability } from "./types.ts";

/** Availability where no platform list names the targets. */
export class AlwaysAvailable implements ITargetAvailability {
  readonly onChange = () => ({ dispose: () => {} });

  stateOf(): "unknown" {
    return "unknown";
  }
}
