/** Files of the replica hold something that no crash can have left. */
export class CorruptionError extends Error {}
