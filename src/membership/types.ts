import type { Deadline, IEvent } from "../common/mod.ts";
import type { Instance, Member } from "./messages.ts";

/** The fleet's members as this instance knows them. */
export interface IMembership {
  /** This instance. */
  readonly self: Instance;
  /** All instances, this one included; empty before the first answer. */
  readonly members: readonly Member[];
  readonly onChange: IEvent<readonly Member[]>;
  /** Whether the leader answered a heartbeat recently. */
  readonly isConnected: boolean;
}

/** Whether targets may get new work according to the platform's list. */
export interface ITargetAvailability {
  /** Returns `unknown` for targets that the list does not contain. */
  stateOf(targetId: string): "live" | "leaving" | "unknown";
  /** Fires with the identifier of a target whose state changes. */
  readonly onChange: IEvent<string>;
}

/** Targets that instances of the fleet report as leaving. */
export interface ILeavingTargets {
  readonly leavingTargets: ReadonlySet<string>;
  readonly onLeavingTargetsChange: IEvent<ReadonlySet<string>>;
}

/** Confirms that this instance has the newest configuration. */
export interface IConfigurationFreshness {
  /**
   * Fires with the start time of a call whose answer showed that no
   * configuration newer than the one in force here had been accepted.
   */
  readonly onConfirmed: IEvent<Deadline>;
}

/** Whether callers may be served with the configuration in force here. */
export interface IServingPermission {
  readonly mayServe: boolean;
  /** Explains to operators why callers may or may not be served. */
  readonly reason: string;
}
