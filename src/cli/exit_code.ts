/** Exit codes of `figroad`; docs/CLI.md explains them. */
export const ExitCode = {
  /** Done as asked. */
  done: 0,
  /** figroad refused, or the operation failed. */
  failed: 1,
  /** Wrong usage, or a document with faults. */
  usage: 2,
  /** Another change won. */
  conflict: 3,
  /** No answer; whether a change was made may be unknown. */
  noAnswer: 4,
  /** Accepted, but not complete in the time given. */
  incomplete: 5,
  /** What was asked for does not exist. */
  notFound: 6,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Why a command did not do what it was asked. */
export interface ICliFailure {
  readonly exitCode: ExitCode;
  /** One line or several, without the program's name. */
  readonly message: string;
}
