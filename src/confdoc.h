#ifndef CONFDOC_H
#define CONFDOC_H

#include "declaration.h"

/** @file
 * One stored document of the configuration: the declarations of one
 * organisation, or those that all share. Immutable and counted, so that
 * snapshots share what did not change.
 */

enum
{
  CONFDOC_DIGEST_MAX = 33, /**< hexadecimal BLAKE2b-128, with the NUL */
  CONFDOC_NAME_MAX = DECLARATION_NAME_MAX + 16,
  CONFDOC_TOMBSTONE_LIMIT = 256
};

/** The name of the document of what belongs to no organisation. */
#define CONFDOC_SHARED "shared"

/** An object that was removed, so that an older sheet does not bring it
 * back. */
struct tombstone
{
  char id[DECLARATION_ID_MAX];
  uint64_t revision; /**< the configuration revision of its removal */
};

struct confdoc
{
  int references;
  char name[CONFDOC_NAME_MAX];
  uint64_t revision; /**< the configuration revision of its last change */
  uint64_t floor;    /**< Tombstones up to this revision were dropped. */
  char digest[CONFDOC_DIGEST_MAX];
  char *text; /**< as stored */
  struct declaration *rows;
  size_t row_count;
  struct tombstone *tombstones;
  size_t tombstone_count;
};

/** A row to put in force, or one in force to remove. */
struct row_change
{
  struct declaration row;
  bool remove;
};

/** The name of the document that holds ROW, in OUT. */
void confdoc_name_of (const struct declaration *row,
                      char out[CONFDOC_NAME_MAX]);

/** The hexadecimal digest of SIZE bytes at TEXT, in OUT. */
void confdoc_digest (const void *text, size_t size,
                     char out[CONFDOC_DIGEST_MAX]);

/** Read the document NAME from TEXT. The caller owns one reference. */
enum status confdoc_parse (struct confdoc **document, const char *name,
                           const char *text, struct error *error);

/** The document NAME: BASE (NULL: nothing) with CHANGES, which all belong to
 * it, as of REVISION. */
struct confdoc *confdoc_change (const struct confdoc *base, const char *name,
                                const struct row_change *changes,
                                size_t change_count, uint64_t revision);

struct confdoc *confdoc_ref (struct confdoc *document);
void confdoc_unref (struct confdoc *document);

/** The revision at which the object ID was last removed, or the floor if that
 * is not known; 0 for a document that does not exist. */
uint64_t confdoc_removed_at (const struct confdoc *document, const char *id);

#endif
