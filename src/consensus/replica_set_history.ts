import type { Entry } from "./entry.ts";
import type { ReplicaSet } from "./replica_set.ts";

interface IVersion {
  readonly index: number;
  readonly replicas: ReplicaSet;
}

/** Members of the log at each index, as its entries say. */
export class ReplicaSetHistory {
  #versions: IVersion[];

  /** Begins with the members at the position before the first entry. */
  constructor(index: number, replicas: ReplicaSet) {
    this.#versions = [{ index, replicas }];
  }

  /** Begins anew after an installed snapshot. */
  reset(index: number, replicas: ReplicaSet): void {
    this.#versions = [{ index, replicas }];
  }

  /** Members by the latest entry, committed or not. */
  get latest(): ReplicaSet {
    return this.#versions.at(-1)?.replicas ?? { voters: [], learners: [] };
  }

  /** Index of the latest entry that names members. */
  get latestIndex(): number {
    return this.#versions.at(-1)?.index ?? 0;
  }

  /** Members as of an index. */
  at(index: number): ReplicaSet {
    const version = this.#versions.findLast((it) => it.index <= index);
    return version?.replicas ?? { voters: [], learners: [] };
  }

  /** Takes in appended entries, which replace later ones. */
  append(entries: readonly Entry[]): void {
    const [first] = entries;
    if (!first) return;
    this.#versions = this.#versions.filter((it) => it.index < first.index);
    for (const { index, body } of entries) {
      if (body.kind !== "replicas") continue;
      this.#versions.push({ index, replicas: body.replicas });
    }
  }

  /** Forgets what held before an index that is compacted. */
  compact(index: number): void {
    const kept = this.#versions.findLastIndex((it) => it.index <= index);
    if (kept > 0) this.#versions.splice(0, kept);
  }
}
