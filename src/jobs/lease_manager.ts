import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type Failure,
  type IClock,
  type IDisposable,
  mayHaveRun,
} from "../common/mod.ts";
import type { IDeadlineOptions, IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { JobsSection } from "./jobs_section.ts";
import {
  type Job,
  type JobsOutput,
  jobsOutputSchema,
  jobsSection,
  type LeasedItem,
  leaseItemsMethod,
  renewLeasesMethod,
} from "./messages.ts";

/** Time without renewal after which a lease ends, in milliseconds. */
export const LEASE_MILLISECONDS = 6_000;

/** How often lapsed leases are looked for, in milliseconds. */
const EXPIRY_INTERVAL_MILLISECONDS = 500;

/** Time that an expiry may take to commit, in milliseconds. */
const EXPIRY_TIMEOUT_MILLISECONDS = 5_000;

/** Grants, renews and expires item leases on the log's leader. */
export class LeaseManager implements IDisposable {
  #log: IReplicatedLog;
  #section: JobsSection;
  #clock: IClock;
  #deadlines = new Map<string, Deadline>();
  #store = new DisposableStore();

  constructor(
    log: IReplicatedLog,
    section: JobsSection,
    options: { clock: IClock; server: IRpcServer },
  ) {
    this.#log = log;
    this.#section = section;
    this.#clock = options.clock;
    const { server } = options;
    this.#store.add(
      server.handle(leaseItemsMethod, (params, context) =>
        this.#lease(params, {
          from: context.from,
          deadline: context.deadline,
        })),
    );
    this.#store.add(
      server.handle(renewLeasesMethod, async (params, context) => {
        const barrier = await log.barrier(context);
        return barrier.map(() => this.#renew(params.leaseIds, context.from));
      }),
    );
    this.#store.add(log.onLeadershipChange(() => this.#deadlines.clear()));
    const timer = setInterval(
      () => void this.#expireLapsed(),
      EXPIRY_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  dispose(): void {
    this.#store.dispose();
  }

  async #lease(
    params: { service: string; maximum: number },
    context: IDeadlineOptions & { from: string },
  ): Promise<Result<{ leaseId?: string; items: LeasedItem[] }, Failure>> {
    const barrier = await this.#log.barrier(context);
    if (barrier.isErr()) return err(barrier.error);
    const items = this.#choose(params.service, params.maximum);
    if (items.length === 0) return ok({ items: [] });
    const granted = await this.#propose({
      kind: "grant",
      leaseId: randomUUID(),
      holder: context.from,
      items,
    }, context);
    if (granted.isErr()) return err(granted.error);
    if (granted.value.kind !== "lease") return ok({ items: [] });
    const { lease } = granted.value;
    this.#deadlines.set(lease.id, this.#clock.deadlineIn(LEASE_MILLISECONDS));
    return ok({ leaseId: lease.id, items: this.#load(lease.items) });
  }

  /** Chooses pending items, the job with the earliest deadline first. */
  #choose(
    service: string,
    maximum: number,
  ): { jobId: string; index: number }[] {
    const jobs = this.#section.jobs()
      .filter((job) => job.state === "running" && job.service === service)
      .sort((first, second) => first.deadlineAt - second.deadlineAt);
    const chosen: { jobId: string; index: number }[] = [];
    for (const { id } of jobs) {
      const wanted = maximum - chosen.length;
      if (wanted <= 0) break;
      const pending = this.#section.pendingItems(id, wanted);
      chosen.push(...pending.map((index) => ({ jobId: id, index })));
    }
    return chosen;
  }

  #load(
    references: { jobId: string; index: number; attempt: number }[],
  ): LeasedItem[] {
    return references.flatMap((reference) => {
      const job = this.#section.job(reference.jobId);
      if (!job) return [];
      const { service, endpoint, idempotent, deadlineAt, caller } = job;
      const input = this.#section.input(job.id, reference.index);
      const fields = { service, endpoint, idempotent, deadlineAt, caller };
      return [{ ...reference, ...fields, input }];
    });
  }

  #renew(
    leaseIds: string[],
    holder: string,
  ): { lost: string[]; cancelledJobs: string[] } {
    const lost: string[] = [];
    const cancelled = new Set<string>();
    for (const id of leaseIds) {
      const lease = this.#section.leases.get(id);
      if (lease?.holder !== holder) {
        lost.push(id);
        continue;
      }
      this.#deadlines.set(id, this.#clock.deadlineIn(LEASE_MILLISECONDS));
      for (const { jobId } of lease.items) {
        if (this.#isCancelled(this.#section.job(jobId))) cancelled.add(jobId);
      }
    }
    return { lost, cancelledJobs: [...cancelled] };
  }

  #isCancelled(job: Job | undefined): boolean {
    return job?.state === "cancelled";
  }

  async #expireLapsed(): Promise<void> {
    if (!this.#log.leadership.isLeader) return;
    for (const id of [...this.#deadlines.keys()]) {
      if (!this.#section.leases.has(id)) this.#deadlines.delete(id);
    }
    for (const id of [...this.#section.leases.keys()]) {
      const deadline = this.#deadlines.get(id);
      if (deadline === undefined) {
        // A new leader does not know when an earlier one last renewed.
        this.#deadlines.set(id, this.#clock.deadlineIn(LEASE_MILLISECONDS));
      } else if (this.#clock.isPast(deadline)) {
        await this.#propose({ kind: "expire", leaseId: id }, {
          deadline: this.#clock.deadlineIn(EXPIRY_TIMEOUT_MILLISECONDS),
        });
      }
    }
  }

  async #propose(
    command: unknown,
    options: IDeadlineOptions,
  ): Promise<Result<JobsOutput, Failure>> {
    const answer = await this.#log.propose(jobsSection.name, command, options);
    if (answer.isErr()) return err(answer.error);
    const output = jobsOutputSchema.safeParse(answer.value);
    if (output.success) return ok(output.data);
    return err(mayHaveRun("internal", output.error.message));
  }
}
