import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import type { z } from "zod";
import { CorruptionError } from "./corruption_error.ts";
import type { IStorage } from "./storage.ts";

/** Length of the checksum line before the document, in characters. */
const CHECKSUM_LENGTH = 9;

/** Encodes a JSON document, preceded by a line with its checksum. */
export function encodeChecksummed(value: unknown): Buffer {
  const text = JSON.stringify(value);
  const checksum = crc32(text).toString(16).padStart(CHECKSUM_LENGTH - 1, "0");
  return Buffer.from(`${checksum}\n${text}`, "utf8");
}

/**
 * Returns the JSON text of a document that `encodeChecksummed` has encoded.
 *
 * @throws CorruptionError when the checksum does not match.
 */
export function verifyChecksummed(name: string, bytes: Buffer): Buffer {
  const checksum = bytes.subarray(0, CHECKSUM_LENGTH - 1).toString("latin1");
  const body = bytes.subarray(CHECKSUM_LENGTH);
  if (Number.parseInt(checksum, 16) !== crc32(body)) {
    throw new CorruptionError(`${name}: checksum does not match`);
  }
  return body;
}

/**
 * Decodes a document that `encodeChecksummed` has encoded.
 *
 * @throws CorruptionError when the checksum or the schema does not match.
 */
export function decodeChecksummed<S extends z.ZodType>(
  name: string,
  bytes: Buffer,
  schema: S,
): z.infer<S> {
  const body = verifyChecksummed(name, bytes);
  const value = schema.safeParse(JSON.parse(body.toString("utf8")));
  if (value.success) return value.data;
  throw new CorruptionError(`${name}: ${value.error.message}`);
}

/** Reads a document, or undefined if there is none. */
export async function readChecksummed<S extends z.ZodType>(
  storage: IStorage,
  name: string,
  schema: S,
): Promise<z.infer<S> | undefined> {
  const bytes = await storage.read(name);
  return bytes && decodeChecksummed(name, bytes, schema);
}
