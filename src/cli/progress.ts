import process from "node:process";

/** Width of the bar, in characters. */
const BAR_WIDTH = 30;

/** Progress between two lines if standard error is not a terminal. */
const LINE_INTERVAL_SHARE = 0.1;

/** Shows progress on standard error: a bar on a terminal, lines otherwise. */
export class Progress {
  #label: string;
  #isTerminal = process.stderr.isTTY === true;
  #lastShare = -1;
  #isBarDrawn = false;

  constructor(label: string) {
    this.#label = label;
  }

  update(done: number, total: number): void {
    const share = total === 0 ? 0 : done / total;
    if (this.#isTerminal) this.#draw(share, `${done} of ${total}`);
    else if (this.#shouldPrintLine(share)) {
      this.#lastShare = share;
      process.stderr.write(`${this.#label}: ${done} of ${total}\n`);
    }
  }

  /** Ends the line of the bar so that other text can follow. */
  finish(): void {
    if (this.#isBarDrawn) process.stderr.write("\n");
    this.#isBarDrawn = false;
  }

  #shouldPrintLine(share: number): boolean {
    const last = this.#lastShare;
    return last < 0 || share - last >= LINE_INTERVAL_SHARE ||
      (share === 1 && last < 1);
  }

  #draw(share: number, text: string): void {
    const filled = Math.round(share * BAR_WIDTH);
    const bar = "#".repeat(filled).padEnd(BAR_WIDTH, ".");
    process.stderr.write(`\r${this.#label} [${bar}] ${text}  `);
    this.#isBarDrawn = true;
  }
}
