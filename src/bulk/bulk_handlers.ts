import { err, ok } from "neverthrow";
import {
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import { jobEnded } from "./events.ts";
import { JobSubmissions } from "./job_submissions.ts";
import {
  bulkSection,
  endBulkMethod,
  readBulkItemMethod,
  readBulkMethod,
  submitBulkMethod,
} from "./messages.ts";
import type { RequestSpaceLimiter } from "./request_space_limiter.ts";
import type { HeldJob, HeldResult } from "./types.ts";
import type { WaitingTokenLimiter } from "./waiting_token_limiter.ts";

/** Maximum size of the results in one answer, in characters. */
const PAGE_CHARACTERS = 1_000_000;

/** Dependencies of the bulk handlers. */
export interface IBulkHandlerOptions {
  readonly log: IReplicatedLog;
  readonly section: BulkSection;
  readonly limiter: WaitingTokenLimiter;
  readonly space: RequestSpaceLimiter;
  /** Whether requests need keys; otherwise, jobs are open to all. */
  readonly requiresKeys: () => boolean;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/** Registers the RPC handlers for jobs; only the leader answers them. */
export function registerBulkHandlers(
  server: IRpcServer,
  handlerOptions: IBulkHandlerOptions,
): IDisposable {
  const { log, section, clock, events } = handlerOptions;
  const isOwn = ({ job }: HeldJob, caller: string | undefined) =>
    job.caller === undefined || job.caller === caller ||
    !handlerOptions.requiresKeys();
  const store = new DisposableStore();
  const submissions = new JobSubmissions({ ...handlerOptions, isOwn });
  store.add(server.handle(
    submitBulkMethod,
    ({ job }, options) => submissions.submit(job, options),
  ));
  store.add(server.handle(readBulkMethod, async (params, options) => {
    const confirmed = await log.barrier({ ...options, requiresQuorum: true });
    if (confirmed.isErr()) return err(confirmed.error);
    const held = section.job(params.job);
    if (!held || !isOwn(held, params.caller)) {
      return ok({ isKnown: false, total: 0, next: params.after, results: [] });
    }
    const end = clock.deadlineIn(params.wait);
    if (held.results.length <= params.after && params.wait > 0) {
      await waitForResult(section, held, { after: params.after, clock, end });
    }
    const results = resultPage(held.results, params.after)
      .map((result) => section.loadResult(result));
    return ok({
      isKnown: true,
      total: held.job.items.length,
      next: params.after + results.length,
      results,
    });
  }));
  store.add(server.handle(readBulkItemMethod, async (params, options) => {
    const confirmed = await log.barrier({ ...options, requiresQuorum: true });
    if (confirmed.isErr()) return err(confirmed.error);
    const held = section.job(params.job);
    if (held && !isOwn(held, params.caller)) return ok({ body: undefined });
    const item = section.findOpenItem(params.job, params.item);
    return ok({ body: item && section.loadRequest(item).body });
  }));
  store.add(server.handle(endBulkMethod, async ({ job, caller }, options) => {
    if (caller !== undefined) {
      const confirmed = await log.barrier({ ...options, requiresQuorum: true });
      if (confirmed.isErr()) return err(confirmed.error);
      const held = section.job(job);
      if (held && !isOwn(held, caller)) return ok({ isKnown: false });
    }
    const command = { kind: "end", job };
    const done = await log.propose(bulkSection.name, command, options);
    if (done.isErr()) return err(done.error);
    events.emit(jobEnded, { request: job });
    return ok(done.value as { isKnown: boolean });
  }));
  return store;
}

/** Waits until the job has more than `after` results, at most until `end`. */
async function waitForResult(
  section: BulkSection,
  held: HeldJob,
  options: {
    after: number;
    clock: IClock;
    end: ReturnType<IClock["deadlineIn"]>;
  },
): Promise<void> {
  const { after, clock, end } = options;
  const arrived = new AbortController();
  const subscription = section.onChanged((id) => {
    if (id === held.job.id && held.results.length > after) arrived.abort();
  });
  await clock.sleepUntil(end, arrived.signal);
  subscription.dispose();
}

/** Returns a page of results from a position on; at least one if any exists. */
function resultPage(
  results: readonly HeldResult[],
  after: number,
): HeldResult[] {
  const taken: HeldResult[] = [];
  let size = 0;
  for (const result of results.slice(after)) {
    const { text, stored, item } = result;
    size += (stored?.length ?? text.length) + item.length;
    if (taken.length > 0 && size > PAGE_CHARACTERS) break;
    taken.push(result);
  }
  return taken;
}
