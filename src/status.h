#ifndef STATUS_H
#define STATUS_H

/** @file
 * Status codes that functions return, and errors with a message.
 */

enum status
{
  STATUS_OK,
  STATUS_INVALID,     /**< The input breaks a rule; a retry is useless. */
  STATUS_NOT_FOUND,   /**< The object does not exist. */
  STATUS_CONFLICT,    /**< A compared revision or value is different. */
  STATUS_DENIED,      /**< The caller has no permission. */
  STATUS_TOO_LARGE,   /**< A value or frame is over its size limit. */
  STATUS_LIMITED,     /**< Over a rate or queue limit; retry later. */
  STATUS_UNAVAILABLE, /**< Certainly without effect; retry later. */
  STATUS_UNKNOWN,     /**< It may or may not have taken effect. */
  STATUS_TIMEOUT,     /**< The deadline passed without an effect. */
  STATUS_CANCELLED,   /**< The caller cancelled it or disconnected. */
  STATUS_STALE,       /**< An old fencing token, generation or revision. */
  STATUS_CORRUPT,     /**< A checksum or an encoding is wrong. */
  STATUS_NO_MEMORY,
  STATUS_COUNT
};

enum
{
  ERROR_MESSAGE_MAX = 512 /**< Bytes, with the final NUL. */
};

/** A status and the message that explains it. */
struct error
{
  enum status status;
  char message[ERROR_MESSAGE_MAX];
};

/** Return the lower-case name of STATUS for logs and JSON; names never change.
 */
const char *status_name (enum status status);

/** Reset ERROR to STATUS_OK and an empty message. */
void error_clear (struct error *error);

/** Store STATUS and a formatted message in ERROR, which may be NULL.
 * @return STATUS, so that a caller can set and return it in one statement. */
enum status error_set (struct error *error, enum status status,
                       const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
