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
  STATUS_LIMITED,     /**< A rate or queue limit is exceeded; retry later. */
  STATUS_UNAVAILABLE, /**< The operation certainly had no effect; retry later.
                       */
  STATUS_UNKNOWN,     /**< The operation may or may not have taken effect. */
  STATUS_TIMEOUT,     /**< The deadline passed; the operation had no effect. */
  STATUS_CANCELLED, /**< The caller cancelled the operation or disconnected. */
  STATUS_STALE,   /**< The request has an outdated fencing token, generation or
                     revision. */
  STATUS_CORRUPT, /**< A checksum or an encoding is wrong. */
  STATUS_NO_MEMORY,
  STATUS_COUNT
};

enum
{
  ERROR_MESSAGE_MAX = 512 /**< Maximum size of a message, with the NUL. */
};

/** A status and the message that explains it. */
struct error
{
  enum status status;
  char message[ERROR_MESSAGE_MAX];
};

/** Return the lower-case name of STATUS for logs and JSON. Names never change.
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
