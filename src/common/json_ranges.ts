import type { Buffer } from "node:buffer";

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;
const SPACE = 0x20;

/** Bytes of one value in a JSON text. */
export interface IJsonRange {
  readonly start: number;
  /** Position after the last byte. */
  readonly end: number;
}

/**
 * Finds the elements of the JSON array that starts at a position, one at a
 * time, so that a long array need not be decoded as a whole.
 *
 * @throws SyntaxError if there is no array or it is not closed.
 */
export function* jsonElements(
  bytes: Buffer,
  start = 0,
): Generator<IJsonRange> {
  expectByte(bytes, start, OPENING_BRACKET);
  let position = skipSpace(bytes, start + 1);
  if (bytes[position] === CLOSING_BRACKET) return;
  for (;;) {
    const end = valueEnd(bytes, position);
    yield { start: position, end };
    const next = skipSpace(bytes, end);
    if (bytes[next] === CLOSING_BRACKET) return;
    expectByte(bytes, next, COMMA);
    position = skipSpace(bytes, next + 1);
  }
}

/**
 * Finds the members of the JSON object that starts at a position.
 *
 * @throws SyntaxError if there is no object or it is not closed.
 */
export function jsonMembers(
  bytes: Buffer,
  start = 0,
): Map<string, IJsonRange> {
  expectByte(bytes, start, OPENING_BRACE);
  const members = new Map<string, IJsonRange>();
  let position = skipSpace(bytes, start + 1);
  if (bytes[position] === CLOSING_BRACE) return members;
  for (;;) {
    const nameEnd = valueEnd(bytes, position);
    const name = String(parseJson(bytes, { start: position, end: nameEnd }));
    const colon = skipSpace(bytes, nameEnd);
    expectByte(bytes, colon, COLON);
    const valueStart = skipSpace(bytes, colon + 1);
    const end = valueEnd(bytes, valueStart);
    members.set(name, { start: valueStart, end });
    const next = skipSpace(bytes, end);
    if (bytes[next] === CLOSING_BRACE) return members;
    expectByte(bytes, next, COMMA);
    position = skipSpace(bytes, next + 1);
  }
}

/**
 * Position after the value with which the text begins.
 *
 * @throws SyntaxError if the value is not closed.
 */
export function jsonValueEnd(bytes: Buffer): number {
  return valueEnd(bytes, 0);
}

/** Decodes one value. */
export function parseJson(bytes: Buffer, { start, end }: IJsonRange): unknown {
  return JSON.parse(bytes.toString("utf8", start, end));
}

/** Whether a JSON array starts at a position. */
export function isJsonArray(bytes: Buffer, { start }: IJsonRange): boolean {
  return bytes[start] === OPENING_BRACKET;
}

function expectByte(bytes: Buffer, position: number, expected: number): void {
  if (bytes[position] === expected) return;
  const character = String.fromCharCode(expected);
  throw new SyntaxError(`expected "${character}" at byte ${position}`);
}

function skipSpace(bytes: Buffer, start: number): number {
  let position = start;
  while ((bytes[position] ?? Number.POSITIVE_INFINITY) <= SPACE) position += 1;
  return position;
}

/** Position after the value that starts at a position. */
function valueEnd(bytes: Buffer, start: number): number {
  let depth = 0;
  let position = start;
  while (position < bytes.length) {
    const byte = bytes[position];
    if (byte === QUOTE) {
      position = stringEnd(bytes, position);
      if (depth === 0) return position;
      continue;
    }
    const isOpening = byte === OPENING_BRACKET || byte === OPENING_BRACE;
    const isClosing = byte === CLOSING_BRACKET || byte === CLOSING_BRACE;
    // A number or a literal ends before the next separator.
    const isSeparator = isClosing || byte === COMMA ||
      (byte !== undefined && byte <= SPACE);
    if (depth === 0 && isSeparator) return position;
    position += 1;
    if (isOpening) depth += 1;
    if (isClosing) depth -= 1;
    if (isClosing && depth === 0) return position;
  }
  if (depth === 0 && position > start) return position;
  throw new SyntaxError(`the value at byte ${start} is not closed`);
}

/** Position after the string whose opening quote is at a position. */
function stringEnd(bytes: Buffer, start: number): number {
  let quote = bytes.indexOf(QUOTE, start + 1);
  while (quote !== -1 && isEscaped(bytes, quote)) {
    quote = bytes.indexOf(QUOTE, quote + 1);
  }
  if (quote !== -1) return quote + 1;
  throw new SyntaxError(`the string at byte ${start} is not closed`);
}

function isEscaped(bytes: Buffer, position: number): boolean {
  let backslashes = 0;
  while (bytes[position - 1 - backslashes] === BACKSLASH) backslashes += 1;
  return backslashes % 2 === 1;
}
