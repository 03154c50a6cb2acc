#ifndef FAKE_SLOWSTORE_H
#define FAKE_SLOWSTORE_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

/** @file
 * The platform's KV service on loopback behind a slow link: it replies to the
 * pages of a read one after the other, each in pieces, and to a watch never
 * unless told so.
 */

struct fake_slowstore
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  char address[32];
  unsigned pages;         /**< Pages of a read, with one key each. */
  unsigned pieces;        /**< Pieces of a page. */
  uint64_t piece_ms;      /**< Delay before each piece. */
  const char *value;      /**< Value of all keys, in base64. */
  unsigned revision;      /**< Of the service and of all keys. */
  unsigned reads;         /**< Reads that began. */
  unsigned watches;       /**< Watches that came. */
  unsigned watches_ended; /**< Watches that the other side ended. */
};

void fake_slowstore_init (struct fake_slowstore *store, uv_loop_t *loop);
void fake_slowstore_finish (struct fake_slowstore *store);

#endif
