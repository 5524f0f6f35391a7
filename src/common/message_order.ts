import { z } from "zod";

/** Number of a message among those that its sender has sent. */
export const messageNumberSchema = z.object({
  /** Identifier of the sending process; different after every start. */
  process: z.string(),
  /** Increases with each message of the process. */
  sequence: z.number(),
});
export type MessageNumber = z.infer<typeof messageNumberSchema>;

/** Earlier processes that are remembered for each sender. */
const MAXIMUM_EARLIER_PROCESSES = 8;

interface ISenderState {
  readonly process: string;
  sequence: number;
  readonly earlierProcesses: readonly string[];
}

/**
 * Tells which messages replace the state that was received from their senders.
 *
 * A partition can hold up the messages on one connection while those on a newer
 * connection arrive, so an older message may come after a newer one.
 */
export class MessageOrder {
  #senders = new Map<string, ISenderState>();

  /**
   * Records a message of a sender. Returns false if it was not sent later than
   * all that were recorded before.
   */
  record(sender: string, { process, sequence }: MessageNumber): boolean {
    const known = this.#senders.get(sender);
    if (known?.process === process) {
      if (sequence <= known.sequence) return false;
      known.sequence = sequence;
      return true;
    }
    if (known?.earlierProcesses.includes(process)) return false;
    const earlierProcesses = known
      ? [...known.earlierProcesses, known.process]
        .slice(-MAXIMUM_EARLIER_PROCESSES)
      : [];
    this.#senders.set(sender, { process, sequence, earlierProcesses });
    return true;
  }
}
