#ifndef CONFIG_H
#define CONFIG_H

#include "confdoc.h"
#include "consistency.h"

/** @file
 * An immutable snapshot of the declared objects with its revision. It is
 * counted, so that a request keeps the snapshot that it began with.
 */

enum
{
  CONFIG_SHEET_LIMIT = 64 /**< Digests of applied sheets that are kept. */
};

/** A sheet that was applied. */
struct config_sheet
{
  char digest[CONFDOC_DIGEST_MAX];
  uint64_t revision;
};

struct config
{
  int references;
  uint64_t revision;
  char digest[CONFDOC_DIGEST_MAX]; /**< over revision, documents, sheets */
  GHashTable *documents;           /**< name to struct confdoc */
  GHashTable *rows;                /**< set of struct declaration */
  GHashTable *keys;                /**< key hash to row */
  struct config_sheet sheets[CONFIG_SHEET_LIMIT]; /**< oldest first */
  size_t sheet_count;
};

/** An unfinished configuration without documents: the steps by which readers
 * build one. */
struct config *config_new (void);

/** Put the documents of BASE (may be NULL) into CONFIG. */
void config_share (struct config *config, const struct config *base);

/** Put DOCUMENT into CONFIG in place of one of the same name; takes over the
 * caller's reference. */
void config_put (struct config *config, struct confdoc *document);

/** Note that the sheet of DIGEST made REVISION. */
void config_remember_sheet (struct config *config, const char *digest,
                            uint64_t revision);

/** Finish CONFIG if STATUS is STATUS_OK: check its digest and the rules. On
 * failure it is dropped.
 * @return STATUS, STATUS_NOT_FOUND (documents of several revisions) or
 * STATUS_INVALID. */
enum status config_seal (struct config **out, struct config *config,
                         enum status status, struct error *error);

/** The empty configuration of revision 0. */
struct config *config_empty (void);

/** BASE with CHANGES, as the next revision, made by the sheet of
 * SHEET_DIGEST.
 * @return STATUS_INVALID (the rules do not hold) or STATUS_TOO_LARGE (a
 * document would be over the KV service's limit, named in ERROR). */
enum status config_change (struct config **config, const struct config *base,
                           const struct row_change *changes, size_t count,
                           const char *sheet_digest, struct error *error);

struct config *config_ref (struct config *config);

/** Drop one reference; CONFIG may be NULL. */
void config_unref (struct config *config);

/** The revision that the sheet of DIGEST made, or 0 if it is not known. */
uint64_t config_sheet_revision (const struct config *config,
                                const char *digest);

/** The document that holds ROW or would hold it, or NULL. */
const struct confdoc *config_document_of (const struct config *config,
                                          const struct declaration *row);

/** All documents, "shared" first, then by name; the caller frees the array
 * with g_ptr_array_unref. */
GPtrArray *config_documents (const struct config *config);

/** The hash of a bearer key, in OUT. */
void config_key_hash (const char *key, size_t size,
                      char out[DECLARATION_KEY_HASH_MAX]);

/** The organisation that a bearer key belongs to, or NULL. */
const struct declaration *config_by_key (const struct config *config,
                                         const char *key, size_t size);

const struct declaration *config_organisation (const struct config *config,
                                               const char *organisation);
const struct declaration *config_kind (const struct config *config,
                                       const char *organisation,
                                       const char *name);
const struct declaration *config_service (const struct config *config,
                                          const char *service);

/** A model; its `version` is the one that new requests use. */
const struct declaration *config_model (const struct config *config,
                                        const char *model);
const struct declaration *config_version (const struct config *config,
                                          const char *model,
                                          const char *version);

/** True if ORGANISATION may use ADAPTER on MODEL. */
bool config_adapter_permitted (const struct config *config,
                               const char *organisation, const char *model,
                               const char *adapter);

/** Settings of a backend server, else of the service that it belongs to, else
 * NULL: then it ignores fencing numbers. */
const struct declaration *config_backend_server (const struct config *config,
                                                 const char *name,
                                                 const char *service);
bool config_drained (const struct config *config, const char *backend_server);

#endif
