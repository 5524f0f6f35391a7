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
import type { IEventLog } from "../events/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { leaseExpired } from "./events.ts";
import type { JobsSection } from "./jobs_section.ts";
import {
  type ItemReference,
  type JobsCommand,
  type JobsOutput,
  jobsOutputSchema,
  jobsSection,
  type LeasedItem,
  leaseItemsMethod,
  renewLeaseMethod,
} from "./messages.ts";

/** Time without renewal after which a lease expires, in milliseconds. */
export const LEASE_MILLISECONDS = 6_000;

/** Pause between checks for expired leases, in milliseconds. */
const EXPIRY_INTERVAL_MILLISECONDS = 500;

/**
 * Time between two checks that shows that this process was paused, in
 * milliseconds. Renewals may then have been received but not yet processed.
 */
const PAUSE_DETECTION_MILLISECONDS = 1_500;

/** Timeout for committing an expiry or a sweep, in milliseconds. */
const EXPIRY_TIMEOUT_MILLISECONDS = 5_000;

/** Grants, renews and expires item leases on the leader of the log. */
export class LeaseManager implements IDisposable {
  #log: IReplicatedLog;
  #section: JobsSection;
  #clock: IClock;
  #events: IEventLog;
  #deadlines = new Map<string, Deadline>();
  #isMaintaining = false;
  #lastCheckAt: Deadline;
  #store = new DisposableStore();

  constructor(
    log: IReplicatedLog,
    section: JobsSection,
    options: { clock: IClock; server: IRpcServer; events: IEventLog },
  ) {
    this.#log = log;
    this.#events = options.events;
    this.#section = section;
    this.#clock = options.clock;
    this.#lastCheckAt = options.clock.monotonic();
    const { server } = options;
    this.#store.add(
      server.handle(leaseItemsMethod, (params, context) =>
        this.#lease(params, {
          from: context.from,
          deadline: context.deadline,
        })),
    );
    this.#store.add(
      server.handle(renewLeaseMethod, async (params, context) => {
        const barrier = await log.barrier(context);
        return barrier.map(() => this.#renew(params, context.from));
      }),
    );
    // A new leader does not know when its predecessor last renewed a lease.
    this.#store.add(log.onLeadershipChange(() => this.#deadlines.clear()));
    const timer = setInterval(
      () => void this.#runMaintenance(),
      EXPIRY_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  dispose(): void {
    this.#store.dispose();
  }

  async #lease(
    params: { leaseId: string; service: string; maximum: number },
    context: IDeadlineOptions & { from: string },
  ): Promise<Result<{ items: LeasedItem[] }, Failure>> {
    const barrier = await this.#log.barrier(context);
    if (barrier.isErr()) return err(barrier.error);
    // Idle instances poll continuously, which must not fill the log.
    if (!this.#section.hasItemsFor(params.service, this.#clock.wall())) {
      return ok({ items: [] });
    }
    // Prevents expiry of the lease while the grant is being committed.
    this.#extend(params.leaseId);
    const granted = await this.#propose({
      kind: "grant",
      holder: context.from,
      ...params,
    }, context);
    if (granted.isErr()) return err(granted.error);
    if (granted.value.kind !== "grant") return ok({ items: [] });
    const { items } = granted.value.grant;
    if (items.length > 0) this.#extend(params.leaseId);
    return ok({ items: items.flatMap((item) => this.#loadItem(item)) });
  }

  #loadItem(item: ItemReference): LeasedItem[] {
    const job = this.#section.job(item.jobId);
    if (!job) return [];
    const { service, endpoint, idempotent, deadlineAt, caller } = job;
    const input = this.#section.input(job.id, item.index);
    const fields = { service, endpoint, idempotent, deadlineAt, caller };
    return [{ ...item, ...fields, input }];
  }

  #renew(
    params: { leaseId: string; jobIds: string[] },
    holder: string,
  ): { held: boolean; stoppedJobs: string[] } {
    const lease = this.#section.leases.get(params.leaseId);
    const held = lease?.holder === holder;
    if (held) this.#extend(params.leaseId);
    const stoppedJobs = params.jobIds.filter((id) =>
      this.#section.job(id)?.state !== "running"
    );
    return { held, stoppedJobs };
  }

  #extend(leaseId: string): void {
    const deadline = this.#clock.deadlineIn(LEASE_MILLISECONDS);
    this.#deadlines.set(leaseId, deadline);
  }

  async #runMaintenance(): Promise<void> {
    if (this.#isMaintaining || !this.#log.leadership.isLeader) return;
    this.#isMaintaining = true;
    try {
      await this.#expireLeases();
      if (this.#section.isSweepDue(this.#clock.wall())) {
        await this.#propose({ kind: "sweep" }, this.#expiryDeadline());
      }
    } finally {
      this.#isMaintaining = false;
    }
  }

  async #expireLeases(): Promise<void> {
    const gap = this.#clock.monotonic() - this.#lastCheckAt;
    this.#lastCheckAt = this.#clock.monotonic();
    if (gap > PAUSE_DETECTION_MILLISECONDS) this.#deadlines.clear();
    for (const id of [...this.#deadlines.keys()]) {
      if (!this.#section.leases.get(id)) this.#deadlines.delete(id);
    }
    for (const id of [...this.#section.leases.ids()]) {
      const deadline = this.#deadlines.get(id);
      if (deadline === undefined) this.#extend(id);
      else if (this.#clock.isPast(deadline)) await this.#expire(id);
    }
  }

  async #expire(leaseId: string): Promise<void> {
    const command = { kind: "expire" as const, leaseId };
    const lease = this.#section.leases.get(leaseId);
    if (lease && lease.items.size > 0) {
      const { holder, items } = lease;
      this.#events.emit(leaseExpired, { holder, items: items.size });
    }
    await this.#propose(command, this.#expiryDeadline());
    this.#lastCheckAt = this.#clock.monotonic();
  }

  #expiryDeadline(): IDeadlineOptions {
    return { deadline: this.#clock.deadlineIn(EXPIRY_TIMEOUT_MILLISECONDS) };
  }

  async #propose(
    command: JobsCommand,
    options: IDeadlineOptions,
  ): Promise<Result<JobsOutput, Failure>> {
    const answer = await this.#log.propose(jobsSection.name, command, options);
    if (answer.isErr()) return err(answer.error);
    const output = jobsOutputSchema.safeParse(answer.value);
    if (output.success) return ok(output.data);
    return err(mayHaveRun("internal", output.error.message));
  }
}
