#include "explainjson.h"
#include "fuzz.h"

#include <assert.h>
#include <string.h>

/* The request of POST /explain. What is accepted must be whole and within its
 * bounds; what is refused must say why. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct json_object *document;
  struct explain_request request;
  struct error error = { .status = STATUS_OK };
  const struct call *call = &request.call;

  if (explainjson_parse ((const char *)data, size, &document, &request, &error)
      == STATUS_OK)
    {
      assert (call->host[0] != '\0' && call->path[0] == '/');
      assert (strchr (call->path, '?') == NULL);
      assert (call->block_count <= CALL_BLOCKS_MAX);
      assert (call->model == NULL || call->model[0] != '\0');
      assert (call->timeout_ns >= -1);
    }
  else
    assert (strchr (error.message, ':') != NULL);
  json_object_put (document);
  return 0;
}
