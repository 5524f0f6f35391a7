/** Thrown when the replica's files are damaged in a way no crash can cause. */
export class CorruptionError extends Error {}
