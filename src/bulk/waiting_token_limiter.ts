import { z } from "zod";
import {
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { Route, RouteTable } from "../service_routes/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import { DrainRate } from "./drain_rate.ts";
import { PendingJobs } from "./pending_jobs.ts";
import type { BulkJob } from "./types.ts";

/** Path of the report to operators, on the metrics address of a store. */
export const WAITING_TOKENS_PATH = "/waiting-tokens";

/** Use of a route's limit of waiting tokens by one caller. */
export const waitingTokenUsageSchema = z.object({
  route: z.string(),
  /** Absent for jobs that needed no key, which count together. */
  caller: z.string().optional(),
  /** Tokens that wait, with those of jobs that are being committed. */
  waitingTokens: z.number(),
  limit: z.number(),
  /** Jobs that this replica has refused since it started. */
  refusedJobs: z.number(),
});
export type WaitingTokenUsage = z.infer<typeof waitingTokenUsageSchema>;

/** Use of all limits, as a replica reports it to operators. */
export const waitingTokenReportSchema = z.object({
  instance: z.string(),
  /** Whether this replica decides on jobs. */
  isLeader: z.boolean(),
  routes: z.array(waitingTokenUsageSchema),
});

/** Why a job was refused. */
export interface IRefusal extends Omit<WaitingTokenUsage, "refusedJobs"> {
  /** Tokens of the refused job. */
  readonly tokens: number;
  /** Version of the routes that contain the limit. */
  readonly routesVersion: number;
  /** Estimated time until the job fits; undefined if it never can. */
  readonly retryMilliseconds: number | undefined;
}

/** Whether a job may be proposed to the replicated log. */
export type SubmissionDecision =
  /** The job was accepted before. */
  | { readonly kind: "known" }
  | { readonly kind: "fits" }
  | { readonly kind: "refused"; readonly refusal: IRefusal };

/**
 * Limits the tokens of each caller's batch jobs that wait on a route. Jobs that
 * needed no key count as those of one caller.
 *
 * Only the leader of the log decides, after a barrier, so that its state
 * includes all accepted jobs. Jobs that it has proposed count until they are
 * applied. A proposal whose outcome is unknown counts until the term ends: its
 * entry is then either in the log of the next leader, which applies it before
 * its first decision, or it will never be committed. The state itself accepts
 * every committed job, so that replicas of versions without the limit agree.
 */
export class WaitingTokenLimiter implements IDisposable {
  #section: BulkSection;
  #clock: IClock;
  #routes: () => RouteTable | undefined;
  #pending = new PendingJobs<{ job: BulkJob; tokens: number }>();
  /** Number of refused jobs by route and caller. */
  #refusedJobs = new Map<string, number>();
  #drainRate = new DrainRate();
  #disposables = new DisposableStore();

  constructor(
    section: BulkSection,
    options: { clock: IClock; routes: () => RouteTable | undefined },
  ) {
    this.#section = section;
    this.#clock = options.clock;
    this.#routes = options.routes;
    this.#disposables.add(section.onChanged((job) => this.#onChanged(job)));
  }

  /**
   * Decides on a job in a term that this replica leads. A job that fits is
   * counted from now on; the caller has to propose it in the same turn of the
   * event loop, and to release it if the proposal provably failed.
   */
  decide(job: BulkJob, term: number): SubmissionDecision {
    if (this.#section.job(job.id)) return { kind: "known" };
    this.#pending.forgetEarlierTerms(term);
    // An earlier proposal of this job may still be committed, so the job must
    // not be refused any more.
    if (this.#pending.has(job.id)) return { kind: "fits" };
    const tokens = job.items.reduce((sum, item) => sum + item.tokens, 0);
    const refusal = this.#findRefusal(job, tokens);
    if (refusal) {
      const key = usageKey(refusal.route, job.caller);
      this.#refusedJobs.set(key, (this.#refusedJobs.get(key) ?? 0) + 1);
      return { kind: "refused", refusal };
    }
    this.#pending.add(job.id, term, { job, tokens });
    return { kind: "fits" };
  }

  /** Stops counting a job whose proposal provably failed. */
  release(job: string): void {
    this.#pending.delete(job);
  }

  /** Use of all limits in force, by each caller that uses one. */
  usage(): WaitingTokenUsage[] {
    const table = this.#routes();
    if (!table) return [];
    return table.set.routes.flatMap((route) => {
      const { name, waitingTokensLimit: limit } = route;
      if (limit === undefined) return [];
      const callers = table.requiresKeys
        ? (table.set.callers ?? []).map((caller) => caller.name)
        : [undefined];
      return callers.flatMap((caller) => {
        const waitingTokens = this.#waitingTokens({ route, caller }, table);
        const refusedJobs = this.#refusedJobs.get(usageKey(name, caller)) ?? 0;
        const isUsed = waitingTokens > 0 || refusedJobs > 0;
        if (caller !== undefined && !isUsed) return [];
        return [{ route: name, caller, waitingTokens, limit, refusedJobs }];
      });
    });
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  #findRefusal(job: BulkJob, tokens: number): IRefusal | undefined {
    const table = this.#routes();
    const route = table?.find(job.host, job.path);
    const limit = route?.waitingTokensLimit;
    if (!table || !route || limit === undefined) return undefined;
    const { caller } = job;
    const waitingTokens = this.#waitingTokens({ route, caller }, table);
    const excess = waitingTokens + tokens - limit;
    if (excess <= 0) return undefined;
    return {
      route: route.name,
      ...(caller !== undefined && { caller }),
      ...{ tokens, waitingTokens, limit },
      routesVersion: table.version,
      retryMilliseconds: tokens > limit
        ? undefined
        : this.#drainRate.retryMilliseconds(excess),
    };
  }

  /** Tokens of a caller's jobs that wait on a route. */
  #waitingTokens(
    scope: { route: Route; caller: string | undefined },
    table: RouteTable,
  ): number {
    const isCounted = ({ host, path, caller }: BulkJob) =>
      caller === scope.caller && table.find(host, path) === scope.route;
    const pending = this.#pending.values()
      .filter(({ job }) => isCounted(job))
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return this.#section.waitingTokens(isCounted) + pending;
  }

  #onChanged(job: string): void {
    if (this.#section.job(job)) this.#pending.delete(job);
    this.#drainRate.sample(
      this.#clock.monotonic(),
      this.#section.settledTokens,
    );
  }
}

function usageKey(route: string, caller: string | undefined): string {
  return caller === undefined ? route : `${route}\n${caller}`;
}
