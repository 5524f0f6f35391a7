import { randomUUID } from "node:crypto";
import { z } from "zod";
import { encodeChecksummed, readChecksummed } from "./checksummed_document.ts";
import { CorruptionError } from "./corruption_error.ts";
import { replicaMemberSchema } from "./replica_set.ts";
import type { IStorage } from "./storage.ts";

/** File with the identity, below the data folder. */
const FILE = "log/identity.json";

/** Which log the data folder belongs to. */
export const identitySchema = z.object({
  /** Identifier of the instance. */
  id: z.string(),
  /** Identifier of the data folder, made when it was first used. */
  storage: z.string(),
  /** Identity of the log, once it is founded or joined. */
  cluster: z.string().optional(),
  /** The first voters, on those of them that founded the log. */
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
   * @throws CorruptionError when the folder is another instance's, or holds
   * a log without an identity.
   */
  async open(id: string): Promise<Identity> {
    const saved = await readChecksummed(this.#storage, FILE, identitySchema);
    if (saved?.id === id) return saved;
    if (saved) {
      throw new CorruptionError(`data folder of instance ${saved.id}`);
    }
    if ((await this.#storage.list("log")).some((it) => !it.endsWith(".tmp"))) {
      throw new CorruptionError("log files without an identity");
    }
    const identity = { id, storage: randomUUID() };
    await this.save(identity);
    return identity;
  }

  async save(identity: Identity): Promise<void> {
    await this.#storage.replace(FILE, encodeChecksummed(identity));
  }
}
