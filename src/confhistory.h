#ifndef CONFHISTORY_H
#define CONFHISTORY_H

#include "kv.h"
#include "merge.h"

/** @file
 * What each revision changed, as documents in the KV service.
 */

/** Prefix of the documents; the revision follows as 20 digits. */
#define CONFHISTORY_PREFIX "trefoilspar/config-history/"

enum
{
  CONFHISTORY_KEY_MAX = 64,
  CONFHISTORY_TEXT_MAX = KV_VALUE_MAX / 2 /**< bytes; without changes above */
};

/** The key of the document of REVISION, in OUT. */
void confhistory_key (uint64_t revision, char out[CONFHISTORY_KEY_MAX]);

/** The document of MERGE, which OPERATOR_NAME sent at the civil time AT_S
 * (seconds) as the sheet of DIGEST; the caller frees it with g_free. */
char *confhistory_text (const struct merge *merge, const char *digest,
                        const char *operator_name, int64_t at_s);

/** {"revisions":[...]}: the documents in ITEMS of revisions over FROM up to
 * TO, in order; the caller frees it. */
struct json_object *confhistory_json (const struct kv_item *items,
                                      size_t count, uint64_t from,
                                      uint64_t to);

#endif
