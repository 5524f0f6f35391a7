import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { type Failure, notRun } from "../common/mod.ts";
import { snapshotInstalled } from "./events.ts";
import type { Follower } from "./follower.ts";
import type { SnapshotChunkParams } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";
import { INCOMING_FOLDER, type SnapshotStore } from "./snapshot_store.ts";
import type { StateMachine } from "./state_machine.ts";
import type { IStorage, IStorageFile } from "./storage.ts";

interface ITransfer {
  readonly id: string;
  file: string;
  handle: IStorageFile;
  offset: number;
  bytes: number;
}

/** Dependencies of a `SnapshotReceiver`. */
export interface ISnapshotReceiverOptions {
  readonly storage: IStorage;
  readonly store: SnapshotStore;
  readonly follower: Follower;
  readonly machine: StateMachine;
}

/** Receives a snapshot from the leader and installs it. */
export class SnapshotReceiver {
  #state: ReplicaState;
  #options: ISnapshotReceiverOptions;
  #transfer: ITransfer | undefined;

  constructor(state: ReplicaState, options: ISnapshotReceiverOptions) {
    this.#state = state;
    this.#options = options;
  }

  /** Writes a chunk of a snapshot; the last one installs the snapshot. */
  async receive(
    params: SnapshotChunkParams,
  ): Promise<Result<{ term: number; accepted: boolean }, Failure>> {
    const state = this.#state;
    const { follower } = this.#options;
    if (!follower.acceptLeader(params)) return await follower.rejectLeader();
    try {
      const accepted = await follower.runExclusive(() => this.#receive(params));
      await state.terms.waitUntilDurable();
      return ok({ term: state.term, accepted });
    } catch (error) {
      state.fail(error as Error);
      return err(notRun("storage-error", (error as Error).message));
    }
  }

  /** Waits for the chunk that is being written, and ends the transfer. */
  async close(): Promise<void> {
    await this.#options.follower.runExclusive(async () => {
      const transfer = this.#transfer;
      this.#transfer = undefined;
      await transfer?.handle.close();
    }).catch(() => {});
  }

  async #receive(params: SnapshotChunkParams): Promise<boolean> {
    const state = this.#state;
    if (state.term !== params.term) return false;
    if (state.log.termAt(params.index) === params.indexTerm) {
      state.commit(params.index);
      return true;
    }
    if (params.index <= state.commitIndex) return true;
    if (this.#transfer?.id !== params.transfer) await this.#begin(params);
    if (!await this.#write(params)) return false;
    if (params.last) await this.#install();
    return true;
  }

  async #begin(params: SnapshotChunkParams): Promise<void> {
    await this.#transfer?.handle.close();
    this.#transfer = undefined;
    await this.#options.store.clearIncoming();
    const { transfer: id, file } = params;
    const handle = await this.#open(file);
    this.#transfer = { id, file, handle, offset: 0, bytes: 0 };
  }

  async #write(params: SnapshotChunkParams): Promise<boolean> {
    const transfer = this.#transfer;
    if (!transfer) return false;
    if (transfer.file !== params.file) {
      await this.#finishFile(transfer);
      transfer.file = params.file;
      transfer.offset = 0;
      transfer.handle = await this.#open(params.file);
    }
    if (transfer.offset !== params.offset) return false;
    const bytes = Buffer.from(params.bytes, "base64");
    await transfer.handle.append(bytes);
    transfer.offset += bytes.length;
    transfer.bytes += bytes.length;
    return true;
  }

  async #install(): Promise<void> {
    const transfer = this.#transfer;
    this.#transfer = undefined;
    if (!transfer) return;
    await this.#finishFile(transfer);
    const { store, machine } = this.#options;
    await store.markComplete();
    const snapshot = await machine.installSnapshot(() => store.install());
    const { index, term, replicas } = snapshot;
    await this.#state.restartAfter({ index, term }, replicas);
    const { bytes } = transfer;
    this.#state.events.emit(snapshotInstalled, { index, bytes });
  }

  #open(file: string): Promise<IStorageFile> {
    return this.#options.storage.open(`${INCOMING_FOLDER}/${file}`);
  }

  async #finishFile(transfer: ITransfer): Promise<void> {
    await transfer.handle.sync();
    await transfer.handle.close();
  }
}
