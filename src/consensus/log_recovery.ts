import type { IClock } from "../common/mod.ts";
import type { HeldEntries } from "./held_entries.ts";
import { type ILogPosition, LogStore } from "./log_store.ts";
import type { WriteAheadLog } from "./write_ahead_log.ts";

/** A log after a restart. */
export interface IOpenedLog {
  readonly log: LogStore;
  /** Entries of the log, which follow the snapshot. */
  readonly entries: HeldEntries;
  /** Length of an incomplete write that was truncated, in bytes. */
  readonly truncatedBytes: number;
}

/**
 * Opens the log with the entries that follow the snapshot.
 *
 * @param options.snapshot position of the latest snapshot, if there is one.
 * @throws CorruptionError when the segments are damaged in a way that no crash
 * can cause.
 */
export async function recoverLog(
  wal: WriteAheadLog,
  options: { snapshot: ILogPosition | undefined; clock: IClock },
): Promise<IOpenedLog> {
  const { snapshot, clock } = options;
  const { index, term } = snapshot ?? { index: 0, term: 0 };
  const recovered = await wal.recover(index);
  const { entries, coveredTerm, truncatedBytes } = recovered;
  const isEmpty = coveredTerm === undefined && entries.length === 0;
  // Segments before a snapshot may be removed, and its own entry with them.
  const isContinued = !isEmpty && (coveredTerm ?? term) === term;
  if (!snapshot || isContinued) {
    const log = new LogStore(wal, { index, term }, { entries, clock });
    return { log, entries, truncatedBytes };
  }
  // A crash came after the snapshot was installed and before the log was reset.
  entries.truncate(0);
  const log = new LogStore(wal, { index, term }, { entries, clock });
  await log.restartAfter({ index, term });
  return { log, entries, truncatedBytes };
}
