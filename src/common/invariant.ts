/** A broken invariant: a fault of the program, never of its input. */
export class InvariantError extends Error {}

/**
 * Asserts what must always hold, in production as in tests.
 *
 * @throws InvariantError when the condition is false.
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
