#ifndef CONFTEXT_H
#define CONFTEXT_H

#include "config.h"

/** @file
 * The JSON texts of a configuration: the root document in the KV service, and
 * the delta that one process sends to another.
 */

/** Key of the root document in the KV service. It lists the other documents
 * with their digests. */
#define CONFTEXT_ROOT_KEY "trefoilspar/config/root"
/** Key prefix of the other documents. */
#define CONFTEXT_DOCUMENT_PREFIX "trefoilspar/config/doc/"
/** Key prefix of the root and all other documents; one range call reads them
 * all. */
#define CONFTEXT_PREFIX "trefoilspar/config/"

/** A key-value pair of the KV service; the key begins with CONFTEXT_PREFIX. */
struct conftext_item
{
  const char *key;
  const char *value;
};

/** Builds a configuration from the root and the other documents in ITEMS. A
 * document of PREVIOUS (may be NULL) is reused if its digest is the one
 * that the root lists.
 * @return STATUS_OK; STATUS_NOT_FOUND (the root or a document is missing;
 * read all of them again); STATUS_CORRUPT; STATUS_INVALID (a consistency
 * rule is violated). */
enum status conftext_load (struct config **config,
                           const struct config *previous,
                           const struct conftext_item *items, size_t count,
                           struct error *error);

/** Returns the text of the root document of CONFIG. The caller frees it with
 * g_free. */
char *conftext_root (const struct config *config);

/** Returns a delta for a peer: the changes after revision SINCE as text. If
 * SINCE is 0, the delta contains everything. The caller frees it with
 * g_free. */
char *conftext_delta (const struct config *config, uint64_t since);

/** Builds a configuration from PREVIOUS (may be NULL) and TEXT, a peer's
 * delta.
 * @return STATUS_OK; STATUS_STALE (not newer than PREVIOUS); STATUS_NOT_FOUND
 * (the delta does not continue PREVIOUS: fetch one since revision 0);
 * STATUS_CORRUPT; STATUS_INVALID. */
enum status conftext_load_delta (struct config **config,
                                 const struct config *previous,
                                 const char *text, struct error *error);

#endif
