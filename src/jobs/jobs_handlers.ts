import { DisposableStore, type IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { JobsSection } from "./jobs_section.ts";
import {
  listJobsMethod,
  readFileMethod,
  readJobMethod,
  readResultsMethod,
} from "./messages.ts";
import { ResultPages } from "./result_pages.ts";

/** Handles reads of files, jobs and results on the leader of the log. */
export function registerJobsHandlers(
  server: IRpcServer,
  log: IReplicatedLog,
  options: { section: JobsSection },
): IDisposable {
  const { section } = options;
  const pages = new ResultPages(section);
  const store = new DisposableStore();
  store.add(server.handle(readJobMethod, async (params, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => ({ job: section.job(params.jobId) }));
  }));
  store.add(server.handle(readFileMethod, async (params, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => ({ file: section.file(params.fileId) }));
  }));
  store.add(server.handle(listJobsMethod, async (params, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => listJobs(section, params));
  }));
  store.add(server.handle(readResultsMethod, async (params, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => pages.read(params.jobId, params));
  }));
  return store;
}

function listJobs(
  section: JobsSection,
  params: { caller: string; after?: string; limit: number },
) {
  const ids = section.jobsOf(params.caller);
  const start = ids.indexOf(params.after ?? "") + 1;
  const jobs = ids.slice(start, start + params.limit)
    .map((id) => section.job(id))
    .filter((job) => job !== undefined);
  return { jobs, more: start + jobs.length < ids.length };
}
