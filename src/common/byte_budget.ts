interface IWaitingTaker {
  readonly bytes: number;
  readonly resolve: () => void;
}

/** Limits the bytes that concurrent operations hold in memory together. */
export class ByteBudget {
  #maximumBytes: number;
  #takenBytes = 0;
  #waiting: IWaitingTaker[] = [];

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /**
   * Takes bytes if they are free. Bytes beyond the maximum are free while
   * nothing else is taken.
   */
  tryTake(bytes: number): boolean {
    const isFree = this.#takenBytes === 0 ||
      this.#takenBytes + bytes <= this.#maximumBytes;
    if (isFree) this.#takenBytes += bytes;
    return isFree;
  }

  /** Takes bytes as soon as they are free, in the order of the calls. */
  async take(bytes: number): Promise<void> {
    if (this.#waiting.length === 0 && this.tryTake(bytes)) return;
    await new Promise<void>((resolve) =>
      this.#waiting.push({ bytes, resolve })
    );
  }

  /** Returns bytes that were taken. */
  release(bytes: number): void {
    this.#takenBytes -= bytes;
    for (;;) {
      const [first] = this.#waiting;
      if (!first || !this.tryTake(first.bytes)) return;
      this.#waiting.shift();
      first.resolve();
    }
  }
}
