import { FakeClock } from "./fake_clock.ts";

/** Fake clock whose time of day can be set; both clocks begin at 0. */
export class SteppingClock extends FakeClock {
  #wallOffset = 0;

  /**
   * Moves the time of day alone, as when it is set, or when the machine is
   * suspended.
   */
  stepWall(milliseconds: number): void {
    this.#wallOffset += milliseconds;
  }

  override wall(): number {
    return super.wall() + this.#wallOffset;
  }
}
