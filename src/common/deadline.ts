/** A point in time on the monotonic clock, in milliseconds. */
export type Deadline = number & { readonly deadlineBrand: unique symbol };

/** Returns the earlier of two deadlines. */
export function earlierDeadline(first: Deadline, second: Deadline): Deadline {
  return first < second ? first : second;
}
