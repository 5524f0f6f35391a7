import { Buffer } from "node:buffer";
import type { IStorage } from "./storage.ts";

/** File for probes, below the data folder. */
const FILE = "log/probe.tmp";

/** Space that must be free before a replica is opened again, in bytes. */
const BYTES = 1024 * 1024;

/** Rejects unless the disk takes bytes and keeps them. */
export async function probeDisk(storage: IStorage): Promise<void> {
  await storage.remove(FILE);
  const file = await storage.open(FILE);
  try {
    await file.append(Buffer.alloc(BYTES));
    await file.sync();
  } finally {
    await file.close();
    await storage.remove(FILE);
  }
}
