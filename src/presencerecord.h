#ifndef PRESENCERECORD_H
#define PRESENCERECORD_H

#include "presence.h"

/** @file
 * The record of a host in the KV service, as a JSON object.
 */

/** Decodes a record to HOST, which is all zero.
 * @return STATUS_INVALID if it has no address */
enum status presencerecord_decode (const char *value,
                                   struct presence_host *host,
                                   struct error *error);

/** Returns the record of HOST with the form of this build; to be freed with
 * g_free. */
char *presencerecord_encode (const struct presence_host *host);

/** Sets the oldest version of MODEL's weights whose KV cache HOST fetches. Has
 * no effect if HOST has PRESENCE_MODELS_MAX other models. */
void presencerecord_set_weights (struct presence_host *host, const char *model,
                                 uint64_t version);

#endif
