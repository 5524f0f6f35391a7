import type { Result } from "neverthrow";
import { z } from "zod";
import type { Failure } from "../common/mod.ts";
import type { IMembership, Instance, Member } from "../membership/mod.ts";

/** Maximum number of members that are queried at the same time. */
const MAXIMUM_CONCURRENT_QUERIES = 32;

/** An instance that did not answer, with the reason. */
export const unansweredSchema = z.object({
  id: z.string(),
  reason: z.string(),
});
export type Unanswered = z.infer<typeof unansweredSchema>;

/** The answer of one instance. */
export interface IMemberAnswer<T> {
  readonly id: string;
  readonly value: T;
}

/** Answers of all members to one query. */
export interface IMemberAnswers<T> {
  readonly answers: readonly IMemberAnswer<T>[];
  readonly unanswered: readonly Unanswered[];
}

/**
 * Queries every known instance. Lost instances are not queried and are returned
 * as unanswered.
 *
 * Instances that were removed from the member list are neither queried nor
 * returned.
 */
export async function queryMembers<T>(
  membership: IMembership,
  query: (instance: Instance) => Promise<Result<T, Failure>>,
): Promise<IMemberAnswers<T>> {
  const answers: IMemberAnswer<T>[] = [];
  const unanswered: Unanswered[] = [];
  const pending = [...knownInstances(membership)];
  const worker = async () => {
    for (let next = pending.shift(); next; next = pending.shift()) {
      const { id } = next;
      if (isLost(next)) {
        unanswered.push({ id, reason: "lost: sends no heartbeats" });
        continue;
      }
      (await query(next)).match(
        (value) => answers.push({ id, value }),
        ({ message }) => unanswered.push({ id, reason: message }),
      );
    }
  };
  await Promise.all(Array.from({ length: MAXIMUM_CONCURRENT_QUERIES }, worker));
  answers.sort(byId);
  unanswered.sort(byId);
  return { answers, unanswered };
}

/** All members, and this instance if the member list does not have it yet. */
function knownInstances(membership: IMembership): (Instance | Member)[] {
  const { members, self } = membership;
  const listed = members.some(({ id }) => id === self.id);
  return listed ? [...members] : [...members, self];
}

function isLost(instance: Instance | Member): boolean {
  return "health" in instance && instance.health === "lost";
}

function byId(first: { id: string }, second: { id: string }): number {
  return first.id < second.id ? -1 : 1;
}
