#ifndef CONFIG_H
#define CONFIG_H

#include "confdoc.h"
#include "consistency.h"

/** @file
 * An immutable snapshot of the declared objects with its revision. Snapshots
 * are reference-counted: a request uses the same one until it ends, even if a
 * newer one is put in force.
 */

enum
{
  /** Maximum number of applied sheets that are recorded. */
  CONFIG_SHEET_LIMIT = 64
};

/** The record of a sheet that was applied. */
struct config_sheet
{
  char digest[CONFDOC_DIGEST_MAX];
  uint64_t revision; /**< Configuration revision that the sheet made. */
};

struct config
{
  int references;
  uint64_t revision;
  char digest[CONFDOC_DIGEST_MAX]; /**< Digest of revision, documents and
                                      sheets. */
  GHashTable *documents;           /**< Maps a name to a struct confdoc. */
  GHashTable *rows; /**< Set of all declarations (struct declaration). */
  /** Maps the hash of a bearer key to its row. */
  GHashTable *rows_by_key_hash;
  /** Applied sheets, oldest first. */
  struct config_sheet sheets[CONFIG_SHEET_LIMIT];
  size_t sheet_count;
};

/** Starts to build a configuration. The new configuration is empty; the
 * caller adds documents and sheets, then calls config_build_finish. */
struct config *config_build_start (void);

/** Adds the documents of BASE (may be NULL) to CONFIG. */
void config_share_documents (struct config *config, const struct config *base);

/** Adds DOCUMENT to CONFIG, replacing a document of the same name. Takes over
 * the caller's reference. */
void config_put_document (struct config *config, struct confdoc *document);

/** Records that the sheet with DIGEST made REVISION. Beyond
 * CONFIG_SHEET_LIMIT, the oldest sheet is dropped. */
void config_record_sheet (struct config *config, const char *digest,
                          uint64_t revision);

/** Finishes building CONFIG: checks its digest and the consistency rules. On
 * failure CONFIG is unreferenced.
 * @param status result of the preceding steps; if it is not STATUS_OK, it is
 * returned without any check
 * @return STATUS, STATUS_NOT_FOUND (the documents are of different revisions)
 * or STATUS_INVALID (a consistency rule is violated). */
enum status config_build_finish (struct config **out, struct config *config,
                                 enum status status, struct error *error);

/** Returns an empty configuration of revision 0. */
struct config *config_new_empty (void);

/** Makes the next revision: BASE with CHANGES, which come from the sheet with
 * SHEET_DIGEST.
 * @return STATUS_OK, STATUS_INVALID (a consistency rule is violated) or
 * STATUS_TOO_LARGE (a document would exceed the KV service's limit; the
 * message in ERROR is its name). */
enum status config_with_changes (struct config **config,
                                 const struct config *base,
                                 const struct row_change *changes,
                                 size_t count, const char *sheet_digest,
                                 struct error *error);

struct config *config_ref (struct config *config);

/** Releases one reference; CONFIG may be NULL. */
void config_unref (struct config *config);

/** Returns the revision that the sheet with DIGEST made, or 0 if the sheet is
 * not recorded. */
uint64_t config_sheet_revision (const struct config *config,
                                const char *digest);

/** Returns the document to which ROW belongs, whether it contains ROW or
 * not; NULL if there is no such document. */
const struct confdoc *config_document_for_row (const struct config *config,
                                               const struct declaration *row);

/** Returns all documents, first "shared", then the others sorted by name.
 * The caller frees the array with g_ptr_array_unref. */
GPtrArray *config_documents (const struct config *config);

/** Writes the hash of a bearer key to OUT. */
void config_key_hash (const char *key, size_t size,
                      char out[DECLARATION_KEY_HASH_MAX]);

/** Returns the organisation to which the bearer key KEY belongs, or NULL. */
const struct declaration *
config_organisation_by_key (const struct config *config, const char *key,
                            size_t size);

/** The following functions return the declaration of an object, or NULL if it
 * is not declared. */
const struct declaration *config_organisation (const struct config *config,
                                               const char *organisation);
const struct declaration *config_request_kind (const struct config *config,
                                               const char *organisation,
                                               const char *name);
const struct declaration *config_service (const struct config *config,
                                          const char *service);

/** Returns the declaration of MODEL; its `version` is the one that new
 * requests use. */
const struct declaration *config_model (const struct config *config,
                                        const char *model);
const struct declaration *config_version (const struct config *config,
                                          const char *model,
                                          const char *version);

/** Whether ORGANISATION may use ADAPTER of MODEL. */
bool config_adapter_is_permitted (const struct config *config,
                                  const char *organisation, const char *model,
                                  const char *adapter);

/** Returns the settings of the backend server NAME: the declaration of type
 * backend_server with that name or, if there is none, with the name of
 * SERVICE, to which the server belongs. Returns NULL if both are missing;
 * such a backend server ignores fencing tokens. */
const struct declaration *config_backend_server (const struct config *config,
                                                 const char *name,
                                                 const char *service);

/** Whether BACKEND_SERVER is declared as draining. */
bool config_backend_server_is_drained (const struct config *config,
                                       const char *backend_server);

#endif
