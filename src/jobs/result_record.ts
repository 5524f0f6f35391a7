import { Buffer } from "node:buffer";
import type { ItemState } from "./item_table.ts";

/** Bytes of a record in a result index. */
export const RESULT_RECORD_BYTES = 20;

/** Entry of a result index, which is in the order of completion. */
export interface IResultRecord {
  readonly item: number;
  readonly state: ItemState;
  readonly failures: number;
  /** Bytes of the line; 0 when it is derived from the state and the input. */
  readonly length: number;
  readonly offset: number;
}

/** Encodes a record as a fixed number of bytes. */
export function encodeResultRecord(record: IResultRecord): Buffer {
  const bytes = Buffer.alloc(RESULT_RECORD_BYTES);
  bytes.writeUInt32LE(record.item, 0);
  bytes.writeUInt8(record.state, 4);
  bytes.writeUInt8(record.failures, 5);
  bytes.writeUInt32LE(record.length, 8);
  bytes.writeDoubleLE(record.offset, 12);
  return bytes;
}

/** Decodes the records in a part of a result index. */
export function decodeResultRecords(bytes: Buffer): IResultRecord[] {
  const records: IResultRecord[] = [];
  const end = bytes.length - RESULT_RECORD_BYTES;
  for (let at = 0; at <= end; at += RESULT_RECORD_BYTES) {
    records.push({
      item: bytes.readUInt32LE(at),
      state: bytes.readUInt8(at + 4) as ItemState,
      failures: bytes.readUInt8(at + 5),
      length: bytes.readUInt32LE(at + 8),
      offset: bytes.readDoubleLE(at + 12),
    });
  }
  return records;
}
