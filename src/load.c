#include "load.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

const struct load_settings load_settings_default = {
  .report_timeout_ns = 3 * NS_PER_S,
  .default_prefill_tokens_per_s = 10000,
  .wait_s_per_running_request = 0,
};

static guint
group_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (struct load_group_key));
}

static gboolean
group_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct load_group_key)) == 0;
}

static void
group_free (gpointer data)
{
  struct load_group *group = data;

  g_array_free (group->members, TRUE);
  g_free (group);
}

static enum status
key_field_set (char to[BLOCK_NAME_SIZE], const char *from)
{
  size_t size = strlen (from);

  memset (to, 0, BLOCK_NAME_SIZE);
  if (size >= BLOCK_NAME_SIZE)
    return STATUS_INVALID;
  memcpy (to, from, size + 1);
  return STATUS_OK;
}

static struct load_engine *
engine_at (const struct load *load, uint32_t index)
{
  return g_ptr_array_index (load->engines, index);
}

static struct load_engine *
engine_find (const struct load *load, uint64_t id)
{
  return g_hash_table_lookup (load->by_id, &id);
}

static uint32_t
find_free_index (const struct load *load)
{
  for (uint32_t i = 0; i < load->engines->len; i++)
    if (!engine_at (load, i)->in_use)
      return i;
  return load->engines->len;
}

static struct load_engine *
engine_add (struct load *load, uint64_t id)
{
  uint32_t index = load->engines->len;
  struct load_engine *engine;

  /* Scan for a free index only if there is one. */
  if (g_hash_table_size (load->by_id) < load->engines->len)
    index = find_free_index (load);
  if (index == load->engines->len)
    g_ptr_array_add (load->engines, g_new (struct load_engine, 1));
  engine = engine_at (load, index);
  memset (engine, 0, sizeof *engine);
  engine->id = id;
  engine->index = index;
  engine->in_use = true;
  list_init (&engine->pending);
  list_init (&engine->node);
  g_hash_table_insert (load->by_id, &engine->id, engine);
  return engine;
}

static struct load_group *
group_find_or_add (struct load *load, const struct load_group_key *key)
{
  struct load_group *group = g_hash_table_lookup (load->groups, key);

  if (group != NULL)
    return group;
  group = g_new (struct load_group, 1);
  group->key = *key;
  group->members = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_hash_table_insert (load->groups, &group->key, group);
  return group;
}

/* Adds ENGINE to GROUP unless it is in GROUP already. Returns the index of
 * GROUP in the engine's memberships. */
static unsigned
group_add_engine (struct load_group *group, struct load_engine *engine)
{
  struct load_membership *membership;

  for (unsigned i = 0; i < engine->membership_count; i++)
    if (engine->memberships[i].group == group)
      return i;
  membership = &engine->memberships[engine->membership_count];
  membership->group = group;
  membership->position = group->members->len;
  g_array_append_val (group->members, engine->index);
  return engine->membership_count++;
}

/* Removes MEMBERSHIP from its group. The last member of the group takes the
 * free position. */
static void
group_remove_member (struct load *load,
                     const struct load_membership *membership)
{
  struct load_group *group = membership->group;
  uint32_t last
      = g_array_index (group->members, uint32_t, group->members->len - 1);
  struct load_engine *moved = engine_at (load, last);

  for (unsigned i = 0; i < moved->membership_count; i++)
    if (moved->memberships[i].group == group)
      moved->memberships[i].position = membership->position;
  g_array_remove_index_fast (group->members, membership->position);
  if (group->members->len == 0)
    g_hash_table_remove (load->groups, &group->key);
}

static void
engine_remove_membership (struct load *load, struct load_engine *engine,
                          unsigned index)
{
  struct load_membership membership = engine->memberships[index];

  group_remove_member (load, &membership);
  engine->membership_count--;
  engine->memberships[index] = engine->memberships[engine->membership_count];
}

static void
engine_remove_from_groups (struct load *load, struct load_engine *engine)
{
  while (engine->membership_count > 0)
    engine_remove_membership (load, engine, engine->membership_count - 1);
  list_remove (&engine->node);
}

/* Adds ENGINE to the groups of the reported versions, then removes it from all
 * others. In this order, a group's members keep their order if nothing
 * changes. */
static void
engine_update_groups (struct load *load, struct load_engine *engine,
                      const struct load_report *report)
{
  bool reported[LOAD_VERSIONS_MAX * 2] = { false };
  struct load_group_key key;
  size_t count = report->version_count < LOAD_VERSIONS_MAX
                     ? report->version_count
                     : LOAD_VERSIONS_MAX;

  for (size_t i = 0; i < count; i++)
    {
      const struct load_version *version = &report->versions[i];

      if (load_group_key_init (&key, report->service, version->model,
                               version->version, version->adapter)
          == STATUS_OK)
        reported[group_add_engine (group_find_or_add (load, &key), engine)]
            = true;
    }
  for (unsigned i = engine->membership_count; i-- > 0;)
    if (!reported[i])
      engine_remove_membership (load, engine, i);
}

/* Sets unreported_tokens to the sum of the tokens that were sent after the
 * load was measured. */
static void
engine_sum_unreported_tokens (struct load_engine *engine)
{
  const struct list *node;

  engine->unreported_tokens = 0;
  for (node = engine->pending.prev; node != &engine->pending;
       node = node->prev)
    {
      const struct load_request *request
          = LIST_ENTRY (node, struct load_request, node);

      if (request->sent_ns <= engine->measured_ns)
        return;
      engine->unreported_tokens += request->tokens;
    }
}

static bool
report_is_stale (const struct load_engine *engine,
                 const struct load_report *report)
{
  if (report->incarnation != engine->incarnation)
    return report->incarnation < engine->incarnation;
  return engine->received_ns != 0 && report->sequence <= engine->sequence;
}

void
load_init (struct load *load, const struct clock *clock,
           const struct load_settings *settings)
{
  load->clock = clock;
  load->settings = *settings;
  load->engines = g_ptr_array_new_with_free_func (g_free);
  load->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  load->groups
      = g_hash_table_new_full (group_hash, group_equal, NULL, group_free);
  list_init (&load->reporting_engines);
}

void
load_finish (struct load *load)
{
  g_hash_table_destroy (load->groups);
  g_hash_table_destroy (load->by_id);
  g_ptr_array_free (load->engines, TRUE);
}

enum status
load_apply_report (struct load *load, const struct load_report *report,
                   int64_t measured_ns)
{
  struct load_engine *engine = engine_find (load, report->engine_id);

  if (engine == NULL)
    engine = engine_add (load, report->engine_id);
  if (report_is_stale (engine, report))
    return STATUS_STALE;
  if (report->incarnation > engine->incarnation)
    engine->leaving = false;
  if (report->name != NULL)
    g_strlcpy (engine->name, report->name, sizeof engine->name);
  engine->incarnation = report->incarnation;
  engine->sequence = report->sequence;
  engine->measured_ns = measured_ns;
  engine->received_ns = clock_now (load->clock);
  engine->queued_tokens = report->queued_tokens;
  engine->running_count = report->running_count;
  engine->prefill_tokens_per_s
      = report->prefill_tokens_per_s > 0
            ? report->prefill_tokens_per_s
            : load->settings.default_prefill_tokens_per_s;
  engine_sum_unreported_tokens (engine);
  if (report->leaving)
    engine->leaving = true;
  if (engine->leaving)
    {
      engine_remove_from_groups (load, engine);
      return STATUS_OK;
    }
  engine_update_groups (load, engine, report);
  list_remove (&engine->node);
  list_append (&load->reporting_engines, &engine->node);
  return STATUS_OK;
}

void
load_set_leaving (struct load *load, uint64_t engine_id, bool leaving)
{
  struct load_engine *engine = engine_find (load, engine_id);

  if (engine == NULL)
    return;
  engine->leaving = leaving;
  /* An engine that is no longer leaving is added to its groups by its next
   * report. */
  if (leaving)
    engine_remove_from_groups (load, engine);
}

void
load_remove_engine (struct load *load, uint64_t engine_id)
{
  struct load_engine *engine = engine_find (load, engine_id);

  if (engine == NULL)
    return;
  engine_remove_from_groups (load, engine);
  while (!list_empty (&engine->pending))
    load_remove_request (
        LIST_ENTRY (engine->pending.next, struct load_request, node));
  g_hash_table_remove (load->by_id, &engine_id);
  engine->in_use = false;
}

void
load_add_request (struct load *load, struct load_request *request,
                  uint32_t index, int64_t tokens)
{
  struct load_engine *engine = engine_at (load, index);

  assert (engine->in_use);
  request->engine = engine;
  request->sent_ns = clock_now (load->clock);
  request->tokens = tokens;
  list_append (&engine->pending, &request->node);
  engine->pending_tokens += tokens;
  if (request->sent_ns > engine->measured_ns)
    engine->unreported_tokens += tokens;
}

void
load_remove_request (struct load_request *request)
{
  struct load_engine *engine = request->engine;

  if (engine == NULL)
    return;
  list_remove (&request->node);
  request->engine = NULL;
  engine->pending_tokens -= request->tokens;
  if (request->sent_ns > engine->measured_ns)
    engine->unreported_tokens -= request->tokens;
}

enum status
load_group_key_init (struct load_group_key *key, const char *service,
                     const char *model, const char *version,
                     const char *adapter)
{
  if (key_field_set (key->service, service) != STATUS_OK
      || key_field_set (key->model, model) != STATUS_OK
      || key_field_set (key->version, version) != STATUS_OK)
    return STATUS_INVALID;
  return key_field_set (key->adapter, adapter != NULL ? adapter : "");
}

const struct load_group *
load_find_group (const struct load *load, const struct load_group_key *key)
{
  return g_hash_table_lookup (load->groups, key);
}

bool
load_engine_in_group (const struct load *load, uint32_t index,
                      const struct load_group *group)
{
  const struct load_engine *engine = engine_at (load, index);

  for (unsigned i = 0; i < engine->membership_count; i++)
    if (engine->memberships[i].group == group)
      return true;
  return false;
}

bool
load_find_engine (const struct load *load, uint64_t engine_id, uint32_t *index)
{
  const struct load_engine *engine = engine_find (load, engine_id);

  if (engine == NULL)
    return false;
  *index = engine->index;
  return true;
}

double
load_wait_s (const struct load *load, uint32_t index, int64_t now)
{
  const struct load_engine *engine = engine_at (load, index);
  double age_s = (double)(now - engine->measured_ns) / (double)NS_PER_S;
  double tokens
      = (double)engine->queued_tokens - engine->prefill_tokens_per_s * age_s;

  if (tokens < 0)
    tokens = 0;
  tokens += (double)engine->unreported_tokens;
  /* The pending requests of this process are certainly still queued. */
  if (tokens < (double)engine->pending_tokens)
    tokens = (double)engine->pending_tokens;
  return tokens / engine->prefill_tokens_per_s
         + engine->running_count * load->settings.wait_s_per_running_request;
}

void
load_tick (struct load *load)
{
  int64_t now = clock_now (load->clock);

  while (load_next_tick_ns (load) <= now)
    engine_remove_from_groups (load, LIST_ENTRY (load->reporting_engines.next,
                                                 struct load_engine, node));
}

int64_t
load_next_tick_ns (const struct load *load)
{
  if (list_empty (&load->reporting_engines))
    return CLOCK_NEVER;
  return LIST_ENTRY (load->reporting_engines.next, struct load_engine, node)
             ->received_ns
         + load->settings.report_timeout_ns;
}
