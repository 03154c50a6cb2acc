#include "health.h"

#include <assert.h>
#include <glib.h>

enum
{
  DOUBLINGS_MAX = 16
};

/* A backend server that is out. */
struct server
{
  struct list node;
  char *name;
  enum health_sign sign;
  bool listed_leaving;
  bool probing;
  unsigned failures;
  int64_t due_ns; /**< of the next probe, or the end of the one under way */
};

static const char *const sign_names[HEALTH_SIGN_COUNT] = {
  [HEALTH_LISTED_LEAVING] = "listed_leaving",
  [HEALTH_REFUSED] = "refused",
  [HEALTH_UNREACHABLE] = "unreachable",
  [HEALTH_OWN_WORD] = "own_word",
  [HEALTH_DIED] = "died",
  [HEALTH_HEARSAY] = "hearsay",
};

static void
server_free (gpointer pointer)
{
  struct server *server = pointer;

  list_remove (&server->node);
  g_free (server->name);
  g_free (server);
}

/* Anything from half of a bound that doubles each time to the whole. */
static void
probe_schedule (struct health *health, struct server *server)
{
  unsigned doublings = MIN (server->failures, (unsigned)DOUBLINGS_MAX);
  int64_t most = health->settings.probe_base_ns << doublings;
  double part = (1 + rng_unit (health->rng)) / 2;

  most = MIN (most, health->settings.probe_max_ns);
  server->probing = false;
  server->due_ns = clock_now (health->clock) + (int64_t)(part * (double)most);
}

static struct server *
server_take_out (struct health *health, const char *name,
                 enum health_sign sign)
{
  struct server *server = g_new0 (struct server, 1);

  server->name = g_strdup (name);
  server->sign = sign;
  list_append (&health->out, &server->node);
  g_hash_table_insert (health->servers, server->name, server);
  probe_schedule (health, server);
  health->ops->changed (health->data, name, false, sign);
  return server;
}

static void
server_take_back (struct health *health, struct server *server)
{
  enum health_sign sign = server->sign;
  char *name = g_strdup (server->name);

  g_hash_table_remove (health->servers, name);
  health->ops->changed (health->data, name, true, sign);
  g_free (name);
}

static void
probe_failed (struct health *health, struct server *server)
{
  server->failures++;
  probe_schedule (health, server);
}

const char *
health_sign_name (enum health_sign sign)
{
  assert ((unsigned)sign < HEALTH_SIGN_COUNT);
  return sign_names[sign];
}

void
health_init (struct health *health, const struct health_settings *settings,
             const struct clock *clock, struct rng *rng,
             const struct health_ops *ops, void *data)
{
  *health = (struct health){
    .clock = clock, .rng = rng, .ops = ops, .data = data, .settings = *settings
  };
  list_init (&health->out);
  health->servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, server_free);
}

void
health_finish (struct health *health)
{
  g_hash_table_destroy (health->servers);
}

bool
health_usable (const struct health *health, const char *name)
{
  return g_hash_table_lookup (health->servers, name) == NULL;
}

void
health_sign (struct health *health, const char *name, enum health_sign sign)
{
  struct server *server = g_hash_table_lookup (health->servers, name);

  if (server == NULL)
    server = server_take_out (health, name, sign);
  if (sign == HEALTH_LISTED_LEAVING)
    server->listed_leaving = true;
  /* A sign that is newer than the question makes its answer worthless. */
  if (server->probing)
    probe_failed (health, server);
}

void
health_listed (struct health *health, const char *name, bool live)
{
  struct server *server = g_hash_table_lookup (health->servers, name);

  if (!live && (server == NULL || !server->listed_leaving))
    health_sign (health, name, HEALTH_LISTED_LEAVING);
  if (!live || server == NULL || !server->listed_leaving)
    return;
  server->listed_leaving = false;
  server->failures = 0;
  probe_schedule (health, server);
}

void
health_forget (struct health *health, const char *name)
{
  g_hash_table_remove (health->servers, name);
}

void
health_probed (struct health *health, const char *name, bool ready)
{
  struct server *server = g_hash_table_lookup (health->servers, name);

  if (server == NULL || !server->probing)
    return;
  if (ready && !server->listed_leaving)
    server_take_back (health, server);
  else
    probe_failed (health, server);
}

void
health_tick (struct health *health)
{
  int64_t now = clock_now (health->clock);

  for (struct list *at = health->out.next; at != &health->out; at = at->next)
    {
      struct server *server = LIST_ENTRY (at, struct server, node);

      if (server->listed_leaving || now < server->due_ns)
        continue;
      if (server->probing)
        {
          probe_failed (health, server);
          continue;
        }
      server->probing = true;
      server->due_ns = now + health->settings.probe_end_ns;
      health->ops->probe (health->data, server->name);
    }
}

int64_t
health_next (const struct health *health)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *at = health->out.next; at != &health->out;
       at = at->next)
    {
      const struct server *server = LIST_ENTRY (at, struct server, node);

      if (!server->listed_leaving)
        next = MIN (next, server->due_ns);
    }
  return next;
}
