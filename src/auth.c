#include "filters.h"
#include "gateway.h"

#include <string.h>
#include <strings.h>

static const struct refusal not_ready
    = { 503, "not_ready", "no configuration is in force here yet", NS_PER_S };
static const struct refusal missing_key
    = { 401, "missing_key", "send 'Authorization: Bearer KEY'", 0 };
static const struct refusal wrong_key
    = { 401, "wrong_key", "the bearer key belongs to no organisation", 0 };

enum filter_result
auth_filter (struct request *request)
{
  static const char scheme[] = "Bearer ";
  const char *header
      = httpserver_request_header (request->http, "authorization");
  const char *key;

  if (request->gateway->config == NULL)
    {
      request_fail (request, &not_ready);
      return FILTER_FINISHED;
    }
  request->config = config_ref (request->gateway->config);
  if (header == NULL || strncasecmp (header, scheme, sizeof scheme - 1) != 0)
    {
      request_fail (request, &missing_key);
      return FILTER_FINISHED;
    }
  key = header + sizeof scheme - 1;
  request->organisation
      = config_organisation_by_key (request->config, key, strlen (key));
  if (request->organisation == NULL)
    {
      request_fail (request, &wrong_key);
      return FILTER_FINISHED;
    }
  return FILTER_PASS;
}
