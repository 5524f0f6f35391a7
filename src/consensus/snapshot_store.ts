import { encodeChecksummed } from "./checksummed_document.ts";
import { CorruptionError } from "./corruption_error.ts";
import type { ReplicaSet } from "./replica_set.ts";
import type { IStorage } from "./storage.ts";
import { StoredSnapshot } from "./stored_snapshot.ts";
import type { SectionSnapshot } from "./types.ts";

/** File with the latest snapshot, below the data folder. */
export const SNAPSHOT_FILE = "log/snapshot.json";

/** Folder for a snapshot that is being received. */
export const INCOMING_FOLDER = "incoming";

/** File that marks a received snapshot as complete. */
const COMPLETE_MARKER = `${INCOMING_FOLDER}/complete`;

/** State of all sections at one index. */
export interface ISnapshot {
  readonly index: number;
  readonly term: number;
  readonly proposedAt: number;
  readonly replicas: ReplicaSet;
  readonly sections: Readonly<Record<string, SectionSnapshot>>;
}

/** Keeps the latest snapshot and the files that belong to it. */
export class SnapshotStore {
  #storage: IStorage;

  constructor(storage: IStorage) {
    this.#storage = storage;
  }

  /** Saves a snapshot durably and returns its size in bytes. */
  async save(snapshot: ISnapshot): Promise<number> {
    const bytes = encodeChecksummed(snapshot);
    await this.#storage.replace(SNAPSHOT_FILE, bytes);
    return bytes.length;
  }

  /**
   * Finishes an interrupted installation, reads the latest snapshot and
   * truncates the sections' files to the lengths in it.
   *
   * @throws CorruptionError when a file is missing or too short.
   */
  async recover(): Promise<StoredSnapshot | undefined> {
    if (await this.#storage.size(COMPLETE_MARKER) !== undefined) {
      return await this.install();
    }
    const snapshot = await this.#load();
    if (snapshot) await this.#truncateFiles(snapshot);
    return snapshot;
  }

  /** Removes files that an earlier transfer has left behind. */
  async clearIncoming(): Promise<void> {
    for (const name of await this.#storage.list(INCOMING_FOLDER)) {
      await this.#storage.remove(name);
    }
  }

  /** Removes a snapshot that was not saved or received completely. */
  async removeUnfinished(): Promise<void> {
    await this.#storage.remove(`${SNAPSHOT_FILE}.tmp`);
    const isComplete = await this.#storage.size(COMPLETE_MARKER) !== undefined;
    if (!isComplete) await this.clearIncoming();
  }

  /** Records durably that the snapshot has been received completely. */
  async markComplete(): Promise<void> {
    const mark = await this.#storage.open(COMPLETE_MARKER);
    await mark.sync();
    await mark.close();
  }

  /** Moves the received files into place; resumes a move that a crash ended. */
  async install(): Promise<StoredSnapshot> {
    const received = await this.#storage.list(INCOMING_FOLDER);
    for (const name of received) {
      if (name === COMPLETE_MARKER) continue;
      const target = name.slice(INCOMING_FOLDER.length + 1);
      if (target !== SNAPSHOT_FILE) await this.#storage.rename(name, target);
    }
    const incoming = `${INCOMING_FOLDER}/${SNAPSHOT_FILE}`;
    if (received.includes(incoming)) {
      await this.#storage.rename(incoming, SNAPSHOT_FILE);
    }
    await this.#storage.remove(COMPLETE_MARKER);
    const snapshot = await this.#load();
    if (!snapshot) throw new CorruptionError("no snapshot was received");
    await this.#truncateFiles(snapshot);
    return snapshot;
  }

  async #load(): Promise<StoredSnapshot | undefined> {
    const bytes = await this.#storage.read(SNAPSHOT_FILE);
    return bytes && new StoredSnapshot(SNAPSHOT_FILE, bytes);
  }

  async #truncateFiles(snapshot: StoredSnapshot): Promise<void> {
    for (const [section, files] of snapshot.files) {
      const lengths = new Map(
        files.map(({ name, length }) => [`${section}/${name}`, length]),
      );
      for (const name of await this.#storage.list(section)) {
        if (!lengths.has(name)) await this.#storage.remove(name);
      }
      for (const [name, length] of lengths) {
        await this.#truncateFile(name, length);
      }
    }
  }

  async #truncateFile(name: string, length: number): Promise<void> {
    const size = await this.#storage.size(name) ?? 0;
    if (size < length) {
      throw new CorruptionError(
        `${name}: only ${size} of ${length} bytes exist`,
      );
    }
    if (size > length) await this.#storage.truncate(name, length);
  }
}
