import { DisposableStore, type IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { ItemState } from "./item_table.ts";
import type { JobsSection } from "./jobs_section.ts";
import {
  listJobsMethod,
  readFileMethod,
  readJobMethod,
  readResultsMethod,
} from "./messages.ts";

/** Longest page of results, in characters. */
const MAXIMUM_PAGE_CHARACTERS = 4 * 1024 * 1024;

/** Answers questions about jobs, on the log's leader. */
export function handleJobs(
  server: IRpcServer,
  log: IReplicatedLog,
  options: { section: JobsSection },
): IDisposable {
  const { section } = options;
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
    return barrier.map(() => readResults(section, params));
  }));
  return store;
}

function listJobs(
  section: JobsSection,
  params: { caller: string; after?: string; limit: number },
) {
  const own = section.jobs().filter(({ caller }) => caller === params.caller);
  const start = own.findIndex(({ id }) => id === params.after) + 1;
  const jobs = own.slice(start, start + params.limit);
  return { jobs, more: start + jobs.length < own.length };
}

function readResults(
  section: JobsSection,
  params: { jobId: string; from: number; limit: number; kind: string },
) {
  const total = section.job(params.jobId)?.counts.total ?? 0;
  const lines: string[] = [];
  let characters = 0;
  let index = params.from;
  for (; index < total && lines.length < params.limit; index++) {
    if (characters > MAXIMUM_PAGE_CHARACTERS) break;
    const done = section.itemState(params.jobId, index) === ItemState.done;
    if (params.kind === "output" && !done) continue;
    if (params.kind === "error" && done) continue;
    const line = section.resultLine(params.jobId, index);
    if (line === undefined) continue;
    lines.push(line);
    characters += line.length;
  }
  return { lines, next: index < total ? index : undefined };
}
