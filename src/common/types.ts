import type { Deadline } from "./deadline.ts";

/** Something that holds a resource until it is disposed of. */
export interface IDisposable {
  dispose(): void;
}

/** Subscribes a listener; disposing of the result ends the subscription. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable;

/** Source of time for everything that waits or expires. */
export interface IClock {
  /** Present point on the monotonic clock, in milliseconds. */
  monotonic(): Deadline;
  /** Milliseconds since the Unix epoch; for display and for stamps only. */
  wall(): number;
  /** The deadline that lies the given number of milliseconds ahead. */
  deadlineIn(milliseconds: number): Deadline;
  /** Milliseconds left until the deadline, never negative. */
  remaining(deadline: Deadline): number;
  /** Whether the deadline has been reached. */
  isPast(deadline: Deadline): boolean;
  /** Resolves at the deadline or when the signal is aborted. */
  sleepUntil(deadline: Deadline, signal?: AbortSignal): Promise<void>;
}
