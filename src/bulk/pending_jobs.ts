interface IPendingJob<T> {
  readonly value: T;
  /** Term of the log in which the job was proposed. */
  readonly term: number;
}

/**
 * Jobs that a leader has proposed and whose commit is not known yet. If the
 * outcome of a proposal is unknown, the job counts until the term ends.
 */
export class PendingJobs<T> {
  #jobs = new Map<string, IPendingJob<T>>();

  add(id: string, term: number, value: T): void {
    this.#jobs.set(id, { term, value });
  }

  has(id: string): boolean {
    return this.#jobs.has(id);
  }

  delete(id: string): void {
    this.#jobs.delete(id);
  }

  values(): T[] {
    return [...this.#jobs.values()].map(({ value }) => value);
  }

  forgetEarlierTerms(term: number): void {
    for (const [id, pending] of this.#jobs) {
      if (pending.term !== term) this.#jobs.delete(id);
    }
  }
}
