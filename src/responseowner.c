#include "responseowner.h"

#include <stddef.h>
#include <string.h>

/* A request that one server refused may have been sent to the next one under
 * the same id. */
static bool
is_refusal_of_another_server (const struct responseowner_names *names,
                              const char *server_id)
{
  return names->refuses && !names->misdirected && names->server_id != NULL
         && server_id != NULL && strcmp (names->server_id, server_id) != 0;
}

enum response_owner
responseowner_decide (const struct responseowner_names *names,
                      const char *request_id, const char *server_id)
{
  if (is_refusal_of_another_server (names, server_id))
    return RESPONSE_OF_ANOTHER;
  if (names->request_id == NULL || names->request_id[0] == '\0')
    return request_id == NULL ? RESPONSE_OWN : RESPONSE_UNIDENTIFIED;
  if (request_id == NULL || names->repeated
      || strcmp (names->request_id, request_id) != 0)
    return RESPONSE_OF_ANOTHER;
  return RESPONSE_OWN;
}
