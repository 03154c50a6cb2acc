#include "forwardstate.h"
#include "forwardqueue.h"
#include "forwardrespond.h"

#include <string.h>

enum
{
  /* Maximum of what is kept of the responses to all requests in flight. */
  RESPONSE_BYTES_MAX = 16 * 1024 * 1024
};

void
forwarder_configure_server (const struct forwarder *forwarder,
                            struct server *server)
{
  const struct service *service
      = forwarder->routes != NULL
            ? routes_find_service (forwarder->routes, server->entry.service)
            : NULL;

  if (service != NULL && service->kv_capacity_tokens > 0)
    server->kv_capacity_tokens = service->kv_capacity_tokens;
  if (service != NULL && server->speed.service != NULL)
    server->speed.service->has_cold_rate = service->cold_per_s > 0;
  if (service != NULL)
    servers_configure_cold (forwarder->servers, server, service->cold_per_s,
                            service->cold_span_ns);
}

static void
forwarder_clear_routes (struct forwarder *forwarder)
{
  routes_unref (forwarder->routes);
  forwarder->routes = NULL;
}

void
forwarder_set_routes (struct forwarder *forwarder, struct routes *routes)
{
  struct routes *old_routes = forwarder->routes;
  GHashTableIter iter;
  gpointer value;

  forwarder->routes = routes_ref (routes);
  routes_unref (old_routes);
  g_hash_table_iter_init (&iter, forwarder->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    forwarder_configure_server (forwarder, value);
}

void
forwarder_set_wanted_version (struct forwarder *forwarder, const char *model,
                              uint64_t version, int64_t since_ns)
{
  struct wanted_weights *wanted
      = g_hash_table_lookup (forwarder->wanted_weights, model);

  if (wanted != NULL && wanted->version >= version)
    return;
  if (wanted == NULL)
    {
      wanted = g_new0 (struct wanted_weights, 1);
      g_strlcpy (wanted->model, model, sizeof wanted->model);
      g_hash_table_insert (forwarder->wanted_weights, wanted->model, wanted);
    }
  weights_add_version (wanted, version, since_ns);
}

int64_t
forwarder_wanted_age_ns (const struct forwarder *forwarder, const char *model)
{
  const struct wanted_weights *wanted
      = g_hash_table_lookup (forwarder->wanted_weights, model);

  return clock_boottime (forwarder->clock)
         - wanted->versions[wanted->version_count - 1].since_ns;
}

struct retrybudget *
forwarder_retry_budget (struct forwarder *forwarder, const char *service)
{
  struct retrybudget *budget
      = g_hash_table_lookup (forwarder->retry_budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct retrybudget, 1);
      retrybudget_init (budget, &forwarder->settings.retry);
      g_hash_table_insert (forwarder->retry_budgets, g_strdup (service),
                           budget);
    }
  return budget;
}

void
forwarder_init (struct forwarder *forwarder, uv_loop_t *loop,
                const struct clock *clock, struct rng *rng, struct log *log,
                struct metrics *metrics, const struct dialect *dialect,
                const struct forward_settings *settings,
                struct servers *servers, struct poisoncount *poisoncount,
                struct blameshare *blameshare, struct kvstores *kvstores,
                const struct cacheretire *retire, struct streamorigin *origin)
{
  memset (forwarder, 0, sizeof *forwarder);
  forwarder->loop = loop;
  forwarder->clock = clock;
  forwarder->rng = rng;
  forwarder->log = log;
  forwarder->metrics = metrics;
  forwarder->dialect = dialect;
  forwarder->settings = *settings;
  forwarder->servers = servers;
  forwarder->poisoncount = poisoncount;
  forwarder->blameshare = blameshare;
  forwarder->kvstores = kvstores;
  forwarder->retire = retire;
  forwarder->origin = origin;
  forwarder->host_count = 1;
  runtimes_init (&forwarder->runtimes);
  forwarder->responses.bytes_max = RESPONSE_BYTES_MAX;
  list_init (&forwarder->requests);
  list_init (&forwarder->waiting);
  forwarder->wanted_weights
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  forwarder->retry_budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
forwarder_finish (struct forwarder *forwarder)
{
  while (!list_empty (&forwarder->requests))
    forward_free (LIST_ENTRY (forwarder->requests.next, struct forward, node));
  forwarder_clear_routes (forwarder);
  g_hash_table_destroy (forwarder->wanted_weights);
  forwardqueue_finish (forwarder);
  runtimes_finish (&forwarder->runtimes);
  g_hash_table_destroy (forwarder->retry_budgets);
}
