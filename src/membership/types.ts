import type { Deadline, IEvent } from "../common/mod.ts";
import type { Instance, Member } from "./messages.ts";

/** The fleet as this instance knows it. */
export interface IMembership {
  /** This instance. */
  readonly self: Instance;
  /** All instances, this one included; empty before the first answer. */
  readonly members: readonly Member[];
  readonly onChange: IEvent<readonly Member[]>;
  /** Whether the leader answered a heartbeat recently. */
  readonly isConnected: boolean;
}

/** Whether targets may get new work, by the platform's list. */
export interface ITargetAvailability {
  /** `unknown` when the list does not name the target. */
  stateOf(targetId: string): "live" | "leaving" | "unknown";
  /** Fires with the target's id when its state changes. */
  readonly onChange: IEvent<string>;
}

/** Targets that the fleet's instances know to be leaving. */
export interface ILeavingTargets {
  readonly leavingTargets: ReadonlySet<string>;
  readonly onLeavingTargetsChange: IEvent<ReadonlySet<string>>;
}

/** Proof that this instance has the newest configuration. */
export interface IConfigurationFreshness {
  /**
   * Point at which a call began whose answer showed that no newer
   * configuration than the one in force here had been accepted.
   */
  readonly onConfirmed: IEvent<Deadline>;
}

/** Whether callers may be served by the configuration in force here. */
export interface IServingPermission {
  readonly mayServe: boolean;
  /** Why callers may or may not be served, for operators. */
  readonly reason: string;
}
