import type { Deadline } from "./deadline.ts";

/** An object that holds resources until it is disposed of. */
export interface IDisposable {
  dispose(): void;
}

/** Subscribes a listener; disposing of the result ends the subscription. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable;

/** Source of time for waits and expiries. */
export interface IClock {
  /** Current time of the monotonic clock, in milliseconds. */
  monotonic(): Deadline;
  /** Milliseconds since the Unix epoch; only for display and timestamps. */
  wall(): number;
  /** Returns the deadline that is the given time from now. */
  deadlineIn(milliseconds: number): Deadline;
  /** Milliseconds until the deadline; 0 if it has passed. */
  remaining(deadline: Deadline): number;
  /** Whether the deadline has been reached. */
  isPast(deadline: Deadline): boolean;
  /** Resolves at the deadline or when the signal is aborted. */
  sleepUntil(deadline: Deadline, signal?: AbortSignal): Promise<void>;
}
