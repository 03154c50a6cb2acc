#include "health.h"

#include <assert.h>
#include <glib.h>

enum
{
  /* Maximum number of doublings of the delay between two probes. */
  DELAY_DOUBLINGS_MAX = 16
};

struct unusable_server
{
  struct list node;
  char *name;
  enum health_evidence evidence;
  bool listed_leaving;
  bool probing;
  unsigned failed_probe_count;
  int64_t due_ns; /* Time at which the next probe starts or, while PROBING, the
                     probe in flight times out. */
};

static const char *const evidence_names[HEALTH_EVIDENCE_COUNT] = {
  [HEALTH_LISTED_LEAVING] = "listed_leaving",
  [HEALTH_REFUSED] = "refused",
  [HEALTH_UNREACHABLE] = "unreachable",
  [HEALTH_ANNOUNCED_LEAVING] = "own_word",
  [HEALTH_CRASHED] = "died",
  [HEALTH_PEER_NOTICE] = "hearsay",
};

static void
server_free (gpointer pointer)
{
  struct unusable_server *server = pointer;

  list_remove (&server->node);
  g_free (server->name);
  g_free (server);
}

/* Schedule the next probe after a random delay between half of a bound and the
 * bound, which doubles after each failed probe. */
static void
schedule_probe (struct health *health, struct unusable_server *server)
{
  unsigned doublings
      = MIN (server->failed_probe_count, (unsigned)DELAY_DOUBLINGS_MAX);
  int64_t bound = health->settings.probe_delay_base_ns << doublings;
  double fraction = (1 + rng_uniform (health->rng)) / 2;

  bound = MIN (bound, health->settings.probe_delay_max_ns);
  server->probing = false;
  server->due_ns
      = clock_now (health->clock) + (int64_t)(fraction * (double)bound);
}

static struct unusable_server *
server_mark_unusable (struct health *health, const char *name,
                      enum health_evidence evidence)
{
  struct unusable_server *server = g_new0 (struct unusable_server, 1);

  server->name = g_strdup (name);
  server->evidence = evidence;
  list_append (&health->unusable, &server->node);
  g_hash_table_insert (health->unusable_by_name, server->name, server);
  schedule_probe (health, server);
  health->ops->usability_changed (health->data, name, false, evidence);
  return server;
}

static void
server_mark_usable (struct health *health, struct unusable_server *server)
{
  enum health_evidence evidence = server->evidence;
  char *name = g_strdup (server->name);

  g_hash_table_remove (health->unusable_by_name, name);
  health->ops->usability_changed (health->data, name, true, evidence);
  g_free (name);
}

static void
probe_failed (struct health *health, struct unusable_server *server)
{
  server->failed_probe_count++;
  schedule_probe (health, server);
}

const char *
health_evidence_name (enum health_evidence evidence)
{
  assert ((unsigned)evidence < HEALTH_EVIDENCE_COUNT);
  return evidence_names[evidence];
}

void
health_init (struct health *health, const struct health_settings *settings,
             const struct clock *clock, struct rng *rng,
             const struct health_ops *ops, void *data)
{
  *health = (struct health){
    .clock = clock, .rng = rng, .ops = ops, .data = data, .settings = *settings
  };
  list_init (&health->unusable);
  health->unusable_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, server_free);
}

void
health_finish (struct health *health)
{
  g_hash_table_destroy (health->unusable_by_name);
}

bool
health_server_is_usable (const struct health *health, const char *name)
{
  return g_hash_table_lookup (health->unusable_by_name, name) == NULL;
}

void
health_report_evidence (struct health *health, const char *name,
                        enum health_evidence evidence)
{
  struct unusable_server *server
      = g_hash_table_lookup (health->unusable_by_name, name);

  if (server == NULL)
    server = server_mark_unusable (health, name, evidence);
  if (evidence == HEALTH_LISTED_LEAVING)
    server->listed_leaving = true;
  /* The probe was sent before this evidence: its reply no longer counts. */
  if (server->probing)
    probe_failed (health, server);
}

void
health_set_listed_live (struct health *health, const char *name, bool live)
{
  struct unusable_server *server
      = g_hash_table_lookup (health->unusable_by_name, name);

  if (!live && (server == NULL || !server->listed_leaving))
    health_report_evidence (health, name, HEALTH_LISTED_LEAVING);
  if (!live || server == NULL || !server->listed_leaving)
    return;
  server->listed_leaving = false;
  server->failed_probe_count = 0;
  schedule_probe (health, server);
}

void
health_forget (struct health *health, const char *name)
{
  g_hash_table_remove (health->unusable_by_name, name);
}

void
health_probe_completed (struct health *health, const char *name, bool ready)
{
  struct unusable_server *server
      = g_hash_table_lookup (health->unusable_by_name, name);

  if (server == NULL || !server->probing)
    return;
  if (ready && !server->listed_leaving)
    server_mark_usable (health, server);
  else
    probe_failed (health, server);
}

void
health_tick (struct health *health)
{
  int64_t now = clock_now (health->clock);

  for (struct list *at = health->unusable.next; at != &health->unusable;
       at = at->next)
    {
      struct unusable_server *server
          = LIST_ENTRY (at, struct unusable_server, node);

      if (server->listed_leaving || now < server->due_ns)
        continue;
      if (server->probing)
        {
          probe_failed (health, server);
          continue;
        }
      server->probing = true;
      server->due_ns = now + health->settings.probe_timeout_ns;
      health->ops->start_probe (health->data, server->name);
    }
}

int64_t
health_next_tick_ns (const struct health *health)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *at = health->unusable.next; at != &health->unusable;
       at = at->next)
    {
      const struct unusable_server *server
          = LIST_ENTRY (at, struct unusable_server, node);

      if (!server->listed_leaving)
        next = MIN (next, server->due_ns);
    }
  return next;
}
