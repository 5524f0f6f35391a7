/** A violated invariant: a bug in the program, never a fault of its input. */
export class InvariantError extends Error {}

/**
 * Asserts a condition, in production as well as in tests.
 *
 * @throws InvariantError if the condition is false.
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
