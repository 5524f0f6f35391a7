import type { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { IRpcClient } from "../rpc/mod.ts";
import { snapshotChunkMethod } from "./messages.ts";
import type { ReplicaMember } from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";
import { SNAPSHOT_FILE } from "./snapshot_store.ts";
import { StoredSnapshot } from "./stored_snapshot.ts";
import type { IStorage } from "./storage.ts";
import type { ISnapshotSender } from "./types.ts";

/** Length of the part of a file in one message, in bytes. */
const CHUNK_BYTES = 256 * 1024;

/** Longest wait for the answer to a message, in milliseconds. */
const CHUNK_TIMEOUT_MILLISECONDS = 15_000;

interface IChunk {
  readonly file: string;
  readonly offset: number;
  readonly bytes: Buffer;
  readonly last: boolean;
}

/** Sends snapshots from this replica's storage, one message at a time. */
export class SnapshotSender implements ISnapshotSender {
  #state: ReplicaState;
  #storage: IStorage;
  #rpc: IRpcClient;

  constructor(
    state: ReplicaState,
    storage: IStorage,
    options: { rpc: IRpcClient },
  ) {
    this.#state = state;
    this.#storage = storage;
    this.#rpc = options.rpc;
  }

  async send(
    peer: ReplicaMember,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const bytes = await this.#storage.read(SNAPSHOT_FILE);
    if (!bytes) return undefined;
    const snapshot = new StoredSnapshot(SNAPSHOT_FILE, bytes);
    const send = this.#chunkSender(peer, snapshot);
    try {
      for await (const chunk of this.#chunks(snapshot, bytes)) {
        if (signal.aborted || !await send(chunk)) return undefined;
      }
    } catch {
      // A newer snapshot removed a file; the next attempt sends that snapshot.
      return undefined;
    }
    return snapshot.index;
  }

  #chunkSender(
    peer: ReplicaMember,
    snapshot: StoredSnapshot,
  ): (chunk: IChunk) => Promise<boolean> {
    const { cluster, self, term, clock } = this.#state;
    const header = {
      cluster,
      to: peer.storage,
      from: self.storage,
      term,
      leader: self.id,
      transfer: randomUUID(),
      index: snapshot.index,
      indexTerm: snapshot.term,
    };
    return async (chunk) => {
      const answer = await this.#rpc.call(peer, snapshotChunkMethod, {
        ...header,
        ...chunk,
        bytes: chunk.bytes.toString("base64"),
      }, {
        deadline: clock.deadlineIn(CHUNK_TIMEOUT_MILLISECONDS),
        lane: "bulk",
      });
      if (answer.isErr()) return false;
      this.#state.observeTerm(answer.value.term);
      return answer.value.accepted;
    };
  }

  /** Yields the chunks of the sections' files, then those of the snapshot. */
  async *#chunks(
    snapshot: StoredSnapshot,
    document: Buffer,
  ): AsyncGenerator<IChunk> {
    for (const [section, files] of snapshot.files) {
      for (const { name, length } of files) {
        yield* this.#fileChunks(`${section}/${name}`, length);
      }
    }
    for (let offset = 0; offset < document.length; offset += CHUNK_BYTES) {
      const bytes = document.subarray(offset, offset + CHUNK_BYTES);
      const last = offset + bytes.length === document.length;
      yield { file: SNAPSHOT_FILE, offset, bytes, last };
    }
  }

  async *#fileChunks(file: string, length: number): AsyncGenerator<IChunk> {
    for (let offset = 0; offset < length;) {
      const size = Math.min(CHUNK_BYTES, length - offset);
      const bytes = await this.#storage.readPart(file, offset, size);
      if (bytes.length === 0) throw new Error(`${file} is truncated`);
      yield { file, offset, bytes, last: false };
      offset += bytes.length;
    }
  }
}
