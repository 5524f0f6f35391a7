import type { ReplicaSet } from "./replica_set.ts";

interface IReplicaSetVersion {
  readonly index: number;
  readonly replicas: ReplicaSet;
}

/** Position of an entry, with the members if the entry sets them. */
export interface IReplicaSetChange {
  readonly index: number;
  readonly replicas: ReplicaSet | undefined;
}

/** Members of the log at each index, according to its entries. */
export class ReplicaSetHistory {
  #versions: IReplicaSetVersion[];

  /** Starts with the members at the index before the first entry. */
  constructor(index: number, replicas: ReplicaSet) {
    this.#versions = [{ index, replicas }];
  }

  /** Restarts the history after an installed snapshot. */
  reset(index: number, replicas: ReplicaSet): void {
    this.#versions = [{ index, replicas }];
  }

  /** Members according to the latest entry, committed or not. */
  get latest(): ReplicaSet {
    return this.#versions.at(-1)?.replicas ?? { voters: [], learners: [] };
  }

  /** Index of the latest entry that sets the members. */
  get latestIndex(): number {
    return this.#versions.at(-1)?.index ?? 0;
  }

  /** Members as of an index. */
  at(index: number): ReplicaSet {
    const version = this.#versions.findLast((it) => it.index <= index);
    return version?.replicas ?? { voters: [], learners: [] };
  }

  /** Adds appended entries, which replace those from the first index on. */
  append(entries: readonly IReplicaSetChange[]): void {
    const [first] = entries;
    if (!first) return;
    this.#versions = this.#versions.filter((it) => it.index < first.index);
    for (const { index, replicas } of entries) {
      if (replicas) this.#versions.push({ index, replicas });
    }
  }

  /** Removes members that were superseded at or before a compacted index. */
  compact(index: number): void {
    const kept = this.#versions.findLastIndex((it) => it.index <= index);
    if (kept > 0) this.#versions.splice(0, kept);
  }
}
