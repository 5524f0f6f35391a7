import type { BatchJob } from "./batch_job.ts";
import { ItemState } from "./item_table.ts";
import type { JobsSection } from "./jobs_section.ts";
import { derivedLine } from "./result_line.ts";
import type { IResultRecord } from "./result_record.ts";

/** Characters above which a page takes no more lines. */
const MAXIMUM_PAGE_CHARACTERS = 4 * 1024 * 1024;

/** Result records per read of an index. */
const READ_RECORDS = 1_000;

/** Maximum number of ended jobs whose order by item is kept in memory. */
const MAXIMUM_CACHED_ORDERS = 4;

/** Range and filter of a page of results. */
export interface IPageRequest {
  readonly from: number;
  readonly limit: number;
  readonly kind: "output" | "error" | "all";
  readonly order: "completion" | "item";
}

/** Reads pages of result lines from a job's files. */
export class ResultPages {
  #section: JobsSection;
  /** Position of each item's result record, by id of the ended job. */
  #itemOrders = new Map<string, Uint32Array>();

  constructor(section: JobsSection) {
    this.#section = section;
  }

  read(
    jobId: string,
    request: IPageRequest,
  ): { lines: string[]; next: number | undefined; position: number } {
    const job = this.#section.batchJob(jobId);
    if (!job) return { lines: [], next: undefined, position: request.from };
    const total = job.resultRecords;
    const lines: string[] = [];
    let characters = 0;
    let position = request.from;
    for (const record of this.#records(job, request)) {
      if (lines.length >= request.limit) break;
      if (characters > MAXIMUM_PAGE_CHARACTERS) break;
      position += 1;
      if (!isOfKind(record, request.kind)) continue;
      const line = this.#line(job, record);
      lines.push(line);
      characters += line.length;
    }
    return { lines, next: position < total ? position : undefined, position };
  }

  *#records(job: BatchJob, request: IPageRequest): Generator<IResultRecord> {
    const ended = job.record.state !== "running";
    if (request.order === "item" && ended) {
      const order = this.#orderOf(job);
      for (let item = request.from; item < order.length; item++) {
        yield* job.readRecords(order[item] ?? 0, 1);
      }
      return;
    }
    const total = job.resultRecords;
    for (let from = request.from; from < total; from += READ_RECORDS) {
      yield* job.readRecords(from, READ_RECORDS);
    }
  }

  #line(job: BatchJob, record: IResultRecord): string {
    if (record.length > 0) return job.readLine(record);
    const jobId = job.record.id;
    const input = this.#section.input(jobId, record.item);
    return derivedLine({ jobId, index: record.item, input }, record.state);
  }

  #orderOf(job: BatchJob): Uint32Array {
    const { id } = job.record;
    const known = this.#itemOrders.get(id);
    if (known) return known;
    const order = new Uint32Array(job.resultRecords);
    for (let from = 0; from < order.length; from += READ_RECORDS) {
      const records = job.readRecords(from, READ_RECORDS);
      records.forEach(({ item }, index) => order[item] = from + index);
    }
    const [oldest] = this.#itemOrders.keys();
    if (oldest && this.#itemOrders.size >= MAXIMUM_CACHED_ORDERS) {
      this.#itemOrders.delete(oldest);
    }
    this.#itemOrders.set(id, order);
    return order;
  }
}

function isOfKind(record: IResultRecord, kind: IPageRequest["kind"]): boolean {
  const done = record.state === ItemState.done;
  return kind === "all" || (kind === "output") === done;
}
