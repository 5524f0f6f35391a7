import type { Buffer } from "node:buffer";

/** Bytes of one answer that are processed before other work gets a turn. */
const BYTES_PER_TURN = 32 * 1024;

const waiting: (() => void)[] = [];

/**
 * Resolves in a later turn of the event loop, for one caller in each turn. Work
 * that takes long thus delays others by one piece at most, however many callers
 * there are.
 */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    waiting.push(resolve);
    if (waiting.length === 1) setImmediate(resolveFirst);
  });
}

function resolveFirst(): void {
  waiting.shift()?.();
  if (waiting.length > 0) setImmediate(resolveFirst);
}

/**
 * Yields the parts of an answer so that an engine that sends as fast as it can
 * does not take all turns of the event loop.
 */
export async function* inTurns(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for await (const part of body) {
    bytes += part.length;
    if (bytes > BYTES_PER_TURN) {
      bytes = 0;
      await nextTurn();
    }
    yield part;
  }
}
