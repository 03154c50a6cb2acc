#ifndef CONFHISTORY_H
#define CONFHISTORY_H

#include "kv.h"
#include "merge.h"

/** @file
 * The history of the configuration: for each revision, one document in the KV
 * service that describes its changes.
 */

/** Key prefix of the history documents, followed by the revision as 20
 * digits. */
#define CONFHISTORY_PREFIX "trefoilspar/config-history/"

enum
{
  /** Maximum size of a key in bytes, with the NUL. */
  CONFHISTORY_KEY_MAX = 64,
  /** Maximum length of a document in bytes. A longer one is stored without its
   * list of changes. */
  CONFHISTORY_TEXT_MAX = KV_VALUE_MAX / 2
};

/** Writes the key of the history document of REVISION to OUT. */
void confhistory_key (uint64_t revision, char out[CONFHISTORY_KEY_MAX]);

/** Returns the text of the history document of the revision that MERGE
 * makes. The caller frees it with g_free.
 * @param digest digest of the sheet
 * @param operator_name name of the operator who sent the sheet
 * @param at_s Unix time of the change in seconds */
char *confhistory_text (const struct merge *merge, const char *digest,
                        const char *operator_name, int64_t at_s);

/** Returns {"revisions":[...]} with those history documents of ITEMS whose
 * revision is above FROM and at most TO, in the order of ITEMS. The caller
 * frees it with json_object_put. */
struct json_object *confhistory_json (const struct kv_item *items,
                                      size_t count, uint64_t from,
                                      uint64_t to);

#endif
