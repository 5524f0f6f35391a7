import type { Buffer } from "node:buffer";
import { StringDecoder } from "node:string_decoder";

export const MAXIMUM_FRAME_CHARACTERS = 64 * 1024 * 1024;

/** Splits a byte stream into JSON frames, one per line. */
export class FrameReader {
  #decoder = new StringDecoder("utf8");
  #incompleteParts: string[] = [];
  #incompleteLength = 0;

  /**
   * Adds received bytes and returns the frames that are now complete.
   *
   * @throws RangeError if a frame is longer than the maximum.
   */
  push(bytes: Buffer): string[] {
    const pieces = this.#decoder.write(bytes).split("\n");
    const frames: string[] = [];
    for (const piece of pieces.slice(0, -1)) {
      this.#checkLength(this.#incompleteLength + piece.length);
      frames.push(this.#incompleteParts.join("") + piece);
      this.#incompleteParts = [];
      this.#incompleteLength = 0;
    }
    this.#appendIncomplete(pieces.at(-1) ?? "");
    return frames;
  }

  #appendIncomplete(piece: string): void {
    if (piece === "") return;
    this.#incompleteParts.push(piece);
    this.#incompleteLength += piece.length;
    this.#checkLength(this.#incompleteLength);
  }

  #checkLength(length: number): void {
    if (length > MAXIMUM_FRAME_CHARACTERS) {
      throw new RangeError("frame exceeds the maximum length");
    }
  }
}
