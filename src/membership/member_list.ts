import type { Member, MemberChanges } from "./messages.ts";

/** Removals that are kept, so that older revisions can get changes only. */
const MAXIMUM_RETAINED_REMOVALS = 1_000;

interface IMemberEntry {
  member: Member;
  /** Revision in which the member last changed. */
  revision: number;
}

/** Versioned member list that computes the changes since a revision. */
export class MemberList {
  #entries = new Map<string, IMemberEntry>();
  #removals = new Map<string, number>();
  #revision = 1;
  /** Older revisions get the whole list instead of changes. */
  #oldestDiffableRevision = 0;

  get revision(): number {
    return this.#revision;
  }

  get members(): readonly Member[] {
    return [...this.#entries.values()].map(({ member }) => member);
  }

  healthOf(id: string): Member["health"] | undefined {
    return this.#entries.get(id)?.member.health;
  }

  /**
   * Adds or replaces a member. A different configuration version alone does
   * not count as a change and keeps the revision.
   */
  put(member: Member): void {
    const entry = this.#entries.get(member.id);
    if (entry && isSame(entry.member, member)) {
      entry.member = member;
      return;
    }
    this.#revision += 1;
    this.#removals.delete(member.id);
    this.#entries.set(member.id, { member, revision: this.#revision });
  }

  remove(id: string): void {
    if (!this.#entries.delete(id)) return;
    this.#revision += 1;
    this.#removals.set(id, this.#revision);
    if (this.#removals.size <= MAXIMUM_RETAINED_REMOVALS) return;
    const [oldest] = this.#removals;
    if (!oldest) return;
    const [removed, revision] = oldest;
    this.#removals.delete(removed);
    this.#oldestDiffableRevision = Math.max(
      this.#oldestDiffableRevision,
      revision,
    );
  }

  clear(): void {
    this.#entries.clear();
    this.#removals.clear();
    this.#revision += 1;
    this.#oldestDiffableRevision = this.#revision;
  }

  /** Changes since an earlier revision; undefined if there are none. */
  changesSince(revision: number): MemberChanges | undefined {
    if (revision === this.#revision) return undefined;
    // Whether the result is the full list instead of the differences.
    const isFull = revision < this.#oldestDiffableRevision ||
      revision === 0 || revision > this.#revision;
    if (isFull) return { whole: isFull, put: [...this.members], removed: [] };
    const put = [...this.#entries.values()]
      .filter((entry) => entry.revision > revision)
      .map(({ member }) => member);
    const removed = [...this.#removals]
      .filter(([, removal]) => removal > revision)
      .map(([id]) => id);
    return { whole: isFull, put, removed };
  }
}

/** Applies changes to a list and returns the new list. */
export function applyMemberChanges(
  members: readonly Member[],
  changes: MemberChanges,
): readonly Member[] {
  if (changes.whole) return changes.put;
  const list = new Map(members.map((member) => [member.id, member]));
  for (const member of changes.put) list.set(member.id, member);
  for (const id of changes.removed) list.delete(id);
  return [...list.values()];
}

function isSame(first: Member, second: Member): boolean {
  return first.incarnation === second.incarnation &&
    first.state === second.state &&
    first.health === second.health &&
    first.address === second.address &&
    first.port === second.port &&
    first.region === second.region &&
    first.failureDomain === second.failureDomain;
}
