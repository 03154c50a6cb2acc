#ifndef CONFTEXT_H
#define CONFTEXT_H

#include "config.h"

/** @file
 * How a configuration is written: the root document in the KV service, and
 * the delta that one process hands to another.
 */

/** Key of the root document in the KV service. */
#define CONFTEXT_ROOT_KEY "trefoilspar/config/root"
/** Prefix of the other documents. */
#define CONFTEXT_DOCUMENT_PREFIX "trefoilspar/config/doc/"
/** Prefix of root and documents: one range reads all of them. */
#define CONFTEXT_PREFIX "trefoilspar/config/"

/** A key of the KV service below CONFTEXT_PREFIX and its value. */
struct conftext
{
  const char *key;
  const char *value;
};

/** Read a snapshot from the root and the documents in TEXTS; documents that
 * are not there are taken from PREVIOUS (may be NULL) where the digest is
 * right.
 * @return STATUS_NOT_FOUND (no root, or a document is missing: read all of
 * them again); STATUS_CORRUPT; STATUS_INVALID (the rules do not hold). */
enum status conftext_load (struct config **config,
                           const struct config *previous,
                           const struct conftext *texts, size_t count,
                           struct error *error);

/** The text of the root document; the caller frees it with g_free. */
char *conftext_root (const struct config *config);

/** What changed after revision SINCE (0: everything), for a peer; the caller
 * frees it with g_free. */
char *conftext_delta (const struct config *config, uint64_t since);

/** Read a peer's delta on top of PREVIOUS.
 * @return STATUS_STALE (not newer than PREVIOUS); STATUS_NOT_FOUND (ask for
 * everything, since 0); STATUS_CORRUPT; STATUS_INVALID. */
enum status conftext_load_delta (struct config **config,
                                 const struct config *previous,
                                 const char *text, struct error *error);

#endif
