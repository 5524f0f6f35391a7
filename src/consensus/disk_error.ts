/** Errors after which the same disk may work again. */
const DISK_ERROR_CODES = ["EDQUOT", "EIO", "ENOSPC", "EROFS", "ETIMEDOUT"];

/** Whether an error says that the disk refuses to work, for now at least. */
export function isDiskError(error: unknown): boolean {
  const { code = "" } = error as NodeJS.ErrnoException;
  return DISK_ERROR_CODES.includes(code);
}
