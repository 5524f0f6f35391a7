import { randomUUID } from "node:crypto";
import { z } from "zod";
import { encodeChecksummed, readChecksummed } from "./checksummed_document.ts";
import { CorruptionError, ForeignFolderError } from "./corruption_error.ts";
import { replicaMemberSchema } from "./replica_set.ts";
import type { IStorage } from "./storage.ts";

/** File with the identity, below the data folder. */
const FILE = "log/identity.json";

/** Identity of a data folder, and the log that it belongs to. */
export const identitySchema = z.object({
  /** Identifier of the instance. */
  id: z.string(),
  /** Identifier of the data folder, generated when it was first used. */
  storage: z.string(),
  /** Identity of the log, once it is created or joined. */
  cluster: z.string().optional(),
  /** The first voters; stored only by those that took part in its creation. */
  founders: z.array(replicaMemberSchema).optional(),
});
export type Identity = z.infer<typeof identitySchema>;

/** Keeps the identity of a data folder. */
export class IdentityStore {
  #storage: IStorage;

  constructor(storage: IStorage) {
    this.#storage = storage;
  }

  /**
   * Reads the identity; an empty folder gets a new one.
   *
   * @throws CorruptionError when the folder belongs to another instance, or
   * contains a log without an identity.
   */
  async open(id: string): Promise<Identity> {
    const saved = await readChecksummed(this.#storage, FILE, identitySchema);
    if (saved?.id === id) return saved;
    if (saved) {
      throw new ForeignFolderError(
        `data folder belongs to instance ${saved.id}`,
      );
    }
    if ((await this.#storage.list("log")).some((it) => !it.endsWith(".tmp"))) {
      throw new CorruptionError("data folder has log files but no identity");
    }
    const identity = { id, storage: randomUUID() };
    await this.save(identity);
    return identity;
  }

  async save(identity: Identity): Promise<void> {
    await this.#storage.replace(FILE, encodeChecksummed(identity));
  }
}
