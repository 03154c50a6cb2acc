#ifndef STATUS_H
#define STATUS_H

/** @file
 * Outcomes of operations as values, with the message of the last failure.
 */

enum status
{
  STATUS_OK,
  STATUS_INVALID,     /**< The input breaks a rule; asking again is no use. */
  STATUS_NOT_FOUND,   /**< No such object. */
  STATUS_CONFLICT,    /**< A compared revision or value differs. */
  STATUS_DENIED,      /**< The caller may not do this. */
  STATUS_TOO_LARGE,   /**< A value or frame is over its limit. */
  STATUS_LIMITED,     /**< A rate or queue limit; later can help. */
  STATUS_UNAVAILABLE, /**< Surely without effect; later can help. */
  STATUS_UNKNOWN,     /**< May or may not have taken effect. */
  STATUS_TIMEOUT,     /**< The deadline passed; without effect. */
  STATUS_CANCELLED,   /**< The asker went away. */
  STATUS_STALE,       /**< An old fencing number, generation or revision. */
  STATUS_CORRUPT,     /**< A checksum or an encoding does not hold. */
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

/** The stable lower-case name of STATUS, for logs and JSON. */
const char *status_name (enum status status);

/** Empty ERROR: STATUS_OK and no message. */
void error_clear (struct error *error);

/** Store STATUS and a formatted message in ERROR, which may be NULL.
 * @return STATUS, so that a caller can return it in one step. */
enum status error_set (struct error *error, enum status status,
                       const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
