/** Exit codes of `figroad`; docs/CLI.md explains them. */
export const ExitCode = {
  /** Success. */
  done: 0,
  /** figroad refused the operation, or it failed. */
  failed: 1,
  /** Invalid command line or invalid document. */
  usage: 2,
  /** A conflicting change was accepted first. */
  conflict: 3,
  /** No answer; the outcome of a change may be unknown. */
  noAnswer: 4,
  /** Accepted, but not complete within the time limit. */
  incomplete: 5,
  /** The requested object does not exist. */
  notFound: 6,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Failure of a command. */
export interface ICliFailure {
  readonly exitCode: ExitCode;
  /** One or more lines, without the program's name. */
  readonly message: string;
}
