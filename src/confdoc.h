#ifndef CONFDOC_H
#define CONFDOC_H

#include "declaration.h"

/** @file
 * One stored document of the configuration: the declarations of one
 * organisation, or those that belong to no organisation. Documents are
 * immutable and reference-counted, so that configurations can share the
 * unchanged ones.
 */

enum
{
  /** Size of a hexadecimal BLAKE2b-128 digest, with the NUL. */
  CONFDOC_DIGEST_MAX = 33,
  CONFDOC_NAME_MAX = DECLARATION_NAME_MAX + 16,
  /** Maximum number of tombstones in a document. */
  CONFDOC_TOMBSTONE_LIMIT = 256
};

/** Name of the document of declarations that belong to no organisation. */
#define CONFDOC_SHARED_NAME "shared"

/** Records that an object was removed, so that a sheet which was exported
 * earlier does not add it again. */
struct tombstone
{
  char id[DECLARATION_ID_MAX];
  uint64_t revision; /**< Configuration revision that removed the object. */
};

struct confdoc
{
  int references;
  char name[CONFDOC_NAME_MAX];
  /** Configuration revision that last changed the document. */
  uint64_t revision;
  /** Revision up to which tombstones have been dropped; 0 if none have. */
  uint64_t tombstone_floor;
  char digest[CONFDOC_DIGEST_MAX];
  char *text; /**< The JSON text that is stored in the KV service. */
  struct declaration *rows;
  size_t row_count;
  struct tombstone *tombstones;
  size_t tombstone_count;
};

/** A row to add, replace or remove. */
struct row_change
{
  struct declaration row;
  bool remove;
};

/** Writes the name of the document that contains ROW to OUT. */
void confdoc_name_for_row (const struct declaration *row,
                           char out[CONFDOC_NAME_MAX]);

/** Writes the hexadecimal digest of SIZE bytes at TEXT to OUT. */
void confdoc_digest (const void *text, size_t size,
                     char out[CONFDOC_DIGEST_MAX]);

/** Parses the document NAME from TEXT. The caller owns one reference. */
enum status confdoc_parse (struct confdoc **document, const char *name,
                           const char *text, struct error *error);

/** Makes a copy of the document BASE (NULL: an empty document) with the name
 * NAME, the configuration revision REVISION and CHANGES, which all belong to
 * this document. */
struct confdoc *confdoc_with_changes (const struct confdoc *base,
                                      const char *name,
                                      const struct row_change *changes,
                                      size_t change_count, uint64_t revision);

struct confdoc *confdoc_ref (struct confdoc *document);
void confdoc_unref (struct confdoc *document);

/** Returns the revision at which the object ID was last removed. If there is
 * no tombstone for ID, returns the revision up to which tombstones were
 * dropped. If DOCUMENT is NULL, returns 0. */
uint64_t confdoc_removal_revision (const struct confdoc *document,
                                   const char *id);

#endif
