#ifndef BYTEBUDGET_H
#define BYTEBUDGET_H

#include <stdbool.h>
#include <stddef.h>

/** @file
 * Bounds the bytes from outside that several holders keep together. While they
 * keep too many, those that keep more than an equal share have to let go.
 */

enum
{
  /** Bytes that a holder may always keep. */
  BYTEBUDGET_SHARE_MIN = 16 * 1024
};

struct bytebudget
{
  size_t bytes;     /**< Bytes that are kept by all. */
  size_t bytes_max; /**< 0: no bound. */
  size_t holders;   /**< Holders that keep any. */
};

/** Record that a holder that kept COUNTED bytes keeps BYTES now, and set
 * COUNTED to that. */
void bytebudget_update (struct bytebudget *budget, size_t *counted,
                        size_t bytes);

/** Whether a holder that keeps COUNTED bytes has to let go. */
bool bytebudget_is_overrun (const struct bytebudget *budget, size_t counted);

#endif
