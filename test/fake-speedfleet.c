#include "fake-speedfleet.h"
#include "serverslowness.h"

#include <stdlib.h>
#include <string.h>

enum
{
  DATA_CENTRES = 3,
  REMOTE_MS = 8,       /* added by the network between data centres */
  STREAM_DELAY_MS = 3, /* of a first event, by each stream */
  REPORT_MS = 150,
  STREAM_MS = 150,
  WARM_UP_MS = 3000,
  LONG_TOKENS = 2870,
  SHORT_TOKENS = 507,
  MESSAGES_MAX = 64
};

static const double long_share = 0.2;

const struct speedfleet_settings speedfleet_default = {
  .load = 0.8,
  .slow_share = 0.15,
  .slowness = 2.5,
  .change_ms = 600,
  .states = true,
  .late_ms = 150,
  .real_rate = 60,
  .near_ms = 400,
  .span_ms = 20000,
  .seed = 1,
};

struct host
{
  struct servers servers;
  struct loadshare loadshare;
  struct server *by_index[SPEEDFLEET_SERVERS];
  struct rng rng;
};

struct request
{
  struct host *host;
  unsigned server;
  unsigned tokens;
  double left; /* tokens to prefill, then ms to stream */
  int64_t sent_ns;
  double comparable_ms;
};

struct engine
{
  GQueue prefill, streams; /* of struct request */
  double slowness;
};

struct message
{
  struct host *from;
  int64_t due_ns;
  size_t size;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
};

struct fleet
{
  const struct speedfleet_settings *settings;
  struct choose_settings choose;
  struct clock_fake clock;
  struct rng rng;
  struct host hosts[SPEEDFLEET_HOSTS];
  struct engine engines[SPEEDFLEET_SERVERS];
  struct message messages[MESSAGES_MAX];
  unsigned message_count;
  GArray *times;
  GArray *herds;
  bool sent_by[SPEEDFLEET_SERVERS][SPEEDFLEET_HOSTS];
  unsigned sent, sent_slow, sent_remote;
};

static void
on_changed (void *data, const struct server *server, const char *change)
{
}

static bool
never (void *data)
{
  return false;
}

static const struct servers_ops servers_ops = { on_changed, NULL };
static const struct loadshare_ops share_ops = { .reports_weights = never };

static int64_t
now_ns (const struct fleet *fleet)
{
  return clock_now (&fleet->clock.clock);
}

static void
host_init (struct fleet *fleet, unsigned index)
{
  struct host *host = &fleet->hosts[index];
  char name[16];

  g_snprintf (name, sizeof name, "dc%u", index % DATA_CENTRES);
  servers_init (&host->servers, NULL, &fleet->clock.clock, name, NS_PER_S,
                &servers_ops, NULL);
  g_snprintf (name, sizeof name, "h%u", index);
  loadshare_init (&host->loadshare, &host->servers, &fleet->clock.clock, name,
                  1, &share_ops, NULL);
  rng_init (&host->rng, fleet->settings->seed * 100 + index);
  for (unsigned i = 0; i < SPEEDFLEET_SERVERS; i++)
    {
      struct server_entry entry = { .service = "llm", .slots = 64 };

      g_snprintf (entry.data_centre, sizeof entry.data_centre, "dc%u",
                  i % DATA_CENTRES);
      g_snprintf (entry.id, sizeof entry.id, "e%u", i);
      servers_update (&host->servers, &entry, 1);
      host->by_index[i] = servers_find (&host->servers, entry.id);
      host->by_index[i]->kv_capacity_tokens = 1000000;
      host->by_index[i]->sending_host_count = SPEEDFLEET_HOSTS;
      host->by_index[i]->speed.service->has_cold_rate
          = fleet->settings->varies;
    }
}

static void
request_arrives (struct fleet *fleet)
{
  struct host *host = &fleet->hosts[rng_below (&fleet->rng, SPEEDFLEET_HOSTS)];
  unsigned tokens
      = rng_uniform (&fleet->rng) < long_share ? LONG_TOKENS : SHORT_TOKENS;
  struct call call = { .prompt_tokens = tokens };
  struct choose_query query
      = { .service = "llm", .model = "m", .call = &call };
  struct choose_result result;
  struct request *request = g_new0 (struct request, 1);

  choose_server (&host->servers, &fleet->choose, &query, &host->rng, &result);
  request->host = host;
  request->server = (unsigned)atoi (result.server->entry.id + 1);
  request->tokens = tokens;
  request->left = tokens;
  request->sent_ns = now_ns (fleet);
  request->comparable_ms = result.comparable_ms;
  server_request_begun (&host->servers, result.server);
  result.server->in_flight_tokens += tokens;
  result.server->pending_prefill_tokens += tokens;
  fleet->sent++;
  fleet->sent_remote += !result.server->in_local_data_centre;
  fleet->sent_slow += fleet->engines[request->server].slowness > 1;
  fleet->sent_by[request->server][host - fleet->hosts] = true;
  g_queue_push_tail (&fleet->engines[request->server].prefill, request);
}

static void
first_event (struct fleet *fleet, struct engine *engine,
             struct request *request)
{
  struct server *server = request->host->by_index[request->server];
  int64_t now = now_ns (fleet);
  double ms = (double)(now - request->sent_ns) / NS_PER_MS
              + (server->in_local_data_centre ? 0 : REMOTE_MS)
              + engine->slowness * STREAM_DELAY_MS * engine->streams.length;

  server->pending_prefill_tokens -= request->tokens;
  server->has_load_report = true;
  server->running_requests = engine->streams.length;
  server->waiting_requests = engine->prefill.length;
  server->load_reported_ns = now;
  if (fleet->settings->states)
    servers_record_slowness (&request->host->servers, server, engine->slowness,
                             request->sent_ns, now, true);
  servers_record_first_event (&request->host->servers, server, ms,
                              request->comparable_ms);
  request->left = STREAM_MS;
  g_queue_push_tail (&engine->streams, request);
  if (request->sent_ns > (WARM_UP_MS + 1000) * NS_PER_MS)
    g_array_append_val (fleet->times, ms);
}

static void
engine_step (struct fleet *fleet, struct engine *engine)
{
  double tokens = fleet->settings->real_rate / engine->slowness;

  for (struct request *request;
       tokens > 0 && (request = g_queue_peek_head (&engine->prefill)) != NULL;)
    {
      double used = MIN (tokens, request->left);

      request->left -= used;
      tokens -= used;
      if (request->left > 0)
        break;
      first_event (fleet, engine, g_queue_pop_head (&engine->prefill));
    }
  for (GList *link = engine->streams.head, *next; link != NULL; link = next)
    {
      struct request *request = link->data;

      next = link->next;
      request->left -= 1 / engine->slowness;
      if (request->left > 0)
        continue;
      request->host->by_index[request->server]->in_flight_tokens
          -= request->tokens;
      server_request_ended (request->host->by_index[request->server]);
      g_free (request);
      g_queue_delete_link (&engine->streams, link);
    }
}

static void
speeds_change (struct fleet *fleet, int64_t ms)
{
  const struct speedfleet_settings *settings = fleet->settings;

  for (unsigned i = 0; i < SPEEDFLEET_SERVERS; i++)
    {
      struct engine *engine = &fleet->engines[i];

      if (settings->change_ms == 0)
        engine->slowness = i < settings->slow_share * SPEEDFLEET_SERVERS
                               ? settings->slowness
                               : 1;
      else if ((ms + i * settings->change_ms / SPEEDFLEET_SERVERS)
                       % settings->change_ms
                   == 0
               || ms == 0)
        engine->slowness = rng_uniform (&fleet->rng) < settings->slow_share
                               ? settings->slowness
                               : 1;
    }
}

static void
reports_exchange (struct fleet *fleet, int64_t ms)
{
  for (unsigned i = 0; i < fleet->message_count;)
    {
      struct message *message = &fleet->messages[i];

      if (message->due_ns > now_ns (fleet))
        {
          i++;
          continue;
        }
      for (unsigned h = 0; h < SPEEDFLEET_HOSTS; h++)
        if (&fleet->hosts[h] != message->from
            && rng_uniform (&fleet->rng) >= fleet->settings->lost)
          loadshare_receive (&fleet->hosts[h].loadshare, message->bytes,
                             message->size);
      *message = fleet->messages[--fleet->message_count];
    }
  for (unsigned h = 0; h < SPEEDFLEET_HOSTS; h++)
    {
      struct message *message = &fleet->messages[fleet->message_count];
      struct host *host = &fleet->hosts[h];

      if (ms % 10 == 0)
        loadshare_tick (&host->loadshare);
      if ((ms + h * REPORT_MS / SPEEDFLEET_HOSTS) % REPORT_MS != 0)
        continue;
      message->from = host;
      message->due_ns = now_ns (fleet) + fleet->settings->late_ms * NS_PER_MS;
      message->size = loadshare_encode (&host->loadshare, message->bytes);
      fleet->message_count++;
    }
}

/* Note how many hosts sent to the same engine within the last span. */
static void
herd_note (struct fleet *fleet)
{
  double most = 0;

  for (unsigned i = 0; i < SPEEDFLEET_SERVERS; i++)
    {
      double count = 0;

      for (unsigned h = 0; h < SPEEDFLEET_HOSTS; h++)
        count += fleet->sent_by[i][h];
      most = MAX (most, count);
    }
  g_array_append_val (fleet->herds, most);
  memset (fleet->sent_by, 0, sizeof fleet->sent_by);
}

static int
double_order (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
quantile (GArray *values, double share)
{
  g_array_sort (values, double_order);
  return g_array_index (values, double, (guint)(values->len * share));
}

/* Add what was measured to RESULT, and free FLEET. */
static void
fleet_finish (struct fleet *fleet, struct speedfleet_result *result)
{
  result->median_ms += quantile (fleet->times, 0.5);
  result->p90_ms += quantile (fleet->times, 0.9);
  result->p99_ms += quantile (fleet->times, 0.99);
  result->herd += quantile (fleet->herds, 0.99);
  result->remote_sent += (double)fleet->sent_remote / fleet->sent;
  result->slow_sent += (double)fleet->sent_slow / fleet->sent;
  for (unsigned i = 0; i < SPEEDFLEET_HOSTS; i++)
    {
      struct host *host = &fleet->hosts[i];
      const struct serverspeed *first = &host->by_index[0]->speed;

      result->prefill_factor
          += serverspeed_prefill_factor (first) / SPEEDFLEET_HOSTS;
      result->factor_first
          += serverspeed_factor (first, now_ns (fleet)) / SPEEDFLEET_HOSTS;
      loadshare_finish (&host->loadshare);
      servers_finish (&host->servers);
    }
  for (unsigned i = 0; i < SPEEDFLEET_SERVERS; i++)
    {
      g_queue_clear_full (&fleet->engines[i].prefill, g_free);
      g_queue_clear_full (&fleet->engines[i].streams, g_free);
    }
  g_array_free (fleet->times, TRUE);
  g_array_free (fleet->herds, TRUE);
  g_free (fleet);
}

static void
fleet_run (const struct speedfleet_settings *settings,
           struct speedfleet_result *result)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  double mean_tokens
      = long_share * LONG_TOKENS + (1 - long_share) * SHORT_TOKENS;
  double capacity
      = SPEEDFLEET_SERVERS * settings->real_rate
        * (1 - settings->slow_share * (1 - 1 / settings->slowness));
  double per_ms = settings->load * capacity / mean_tokens;
  double due = 0;

  fleet->settings = settings;
  fleet->choose = choose_settings_default;
  fleet->choose.near_ms = settings->near_ms;
  clock_fake_init (&fleet->clock, NS_PER_S);
  rng_init (&fleet->rng, settings->seed);
  fleet->times = g_array_new (FALSE, FALSE, sizeof (double));
  fleet->herds = g_array_new (FALSE, FALSE, sizeof (double));
  for (unsigned i = 0; i < SPEEDFLEET_HOSTS; i++)
    host_init (fleet, i);
  for (int64_t ms = 0; ms < settings->span_ms; ms++)
    {
      speeds_change (fleet, ms);
      reports_exchange (fleet, ms);
      for (due += 2 * per_ms * rng_uniform (&fleet->rng); due >= 1; due--)
        request_arrives (fleet);
      for (unsigned i = 0; i < SPEEDFLEET_SERVERS; i++)
        engine_step (fleet, &fleet->engines[i]);
      if (ms % 10 == 9)
        herd_note (fleet);
      clock_fake_advance (&fleet->clock, NS_PER_MS);
    }
  fleet_finish (fleet, result);
}

void
speedfleet_run (const struct speedfleet_settings *settings, unsigned count,
                struct speedfleet_result *result)
{
  struct speedfleet_settings run = *settings;

  memset (result, 0, sizeof *result);
  for (unsigned i = 0; i < count; i++, run.seed++)
    fleet_run (&run, result);
  result->median_ms /= count;
  result->p90_ms /= count;
  result->p99_ms /= count;
  result->slow_sent /= count;
  result->remote_sent /= count;
  result->herd /= count;
  result->prefill_factor /= count;
  result->factor_first /= count;
}
