import type { Deadline } from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";

/** Whether this instance reaches the engines over links of its own. */
export interface ILinkState {
  /** Whether the latest check reached none of the engines that it tried. */
  readonly isCutOff: boolean;
  /**
   * Resolves with whether this instance is cut off. Opens connections to find
   * out, unless one has opened just before.
   */
  check(): Promise<boolean>;
}

/** Opens connections to engines to find out whether they can be reached. */
export interface IEngineConnector {
  /**
   * Opens a connection and closes it at once. Rejects if it has not opened by
   * the deadline.
   */
  connect(
    engine: ListedEngine,
    options: { deadline: Deadline; signal: AbortSignal },
  ): Promise<void>;
}
