/** Thrown when the replica's files are damaged in a way no crash can cause. */
export class CorruptionError extends Error {}

/** Thrown when the files are those of another replica, which may need them. */
export class ForeignFolderError extends CorruptionError {}

/** Describes the failure of a replica, and what an operator can do about it. */
export function describeFailure(error: Error): string {
  const isDamaged = error instanceof CorruptionError &&
    !(error instanceof ForeignFolderError);
  return isDamaged
    ? `${error.message}; if a quorum of the other voters is sound, empty the ` +
      "data folder of this one and start it again: it then rejoins"
    : error.message;
}
