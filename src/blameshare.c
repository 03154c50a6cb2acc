#include "blameshare.h"
#include "blamenews.pb-c.h"

#include <math.h>
#include <string.h>

enum
{
  SENDS = 3, /* Number of datagrams that have a lost run. */
  SEND_INTERVAL_MS = 120,
  COMPLETED_INTERVAL_MS = 200,
  /* Age of a crash up to which completed runs with its parts are told. */
  CRASH_TOLD_S = 10,
  COMPLETED_REPEAT_MS = 2000,
  /* From this number on, completed runs are told only once in the interval
   * above, since they exonerate a part as they are. */
  COMPLETED_MANY = 20,
  COMPLETED_TOLD_MAX = 256, /* Maximum number of parts told at a time. */
  BLOCKS_INTERVAL_MS = 2000,
  /* Time after the start of the process in which other hosts tell which runs
   * were completed. */
  START_MS = 3000,
  TRY_STAGGER_S = 20,      /* Time between the hosts that may try a request. */
  COMPLETED_MAX = 1000000, /* Maximum of a reported number of runs. */
  MESSAGE_ITEMS_MAX = 64
};

struct unsent_run
{
  struct list node;
  struct blame_run run;
  int64_t lost_ns;
  int64_t next_send_ns;
  unsigned sends_left;
};

static uint32_t
ns_to_ms (int64_t ns)
{
  return (uint32_t)CLAMP (ns / NS_PER_MS, 0, G_MAXINT32);
}

static int64_t
ms_to_ns (uint32_t ms)
{
  return (int64_t)ms * NS_PER_MS;
}

static void
message_send (struct blameshare *share, const Trefoilspar__BlameNews *message)
{
  uint8_t bytes[BLAMESHARE_BYTES_MAX];

  if (trefoilspar__blame_news__get_packed_size (message) <= sizeof bytes)
    share->ops->send (share->data, bytes,
                      trefoilspar__blame_news__pack (message, bytes));
}

static bool
message_fits (const Trefoilspar__BlameNews *message)
{
  return trefoilspar__blame_news__get_packed_size (message)
         <= BLAMESHARE_BYTES_MAX;
}

/* Send RUNS in as many datagrams as they need. */
static void
lost_runs_send (struct blameshare *share, Trefoilspar__BlameLostRun **runs,
                size_t count)
{
  Trefoilspar__BlameNews message = TREFOILSPAR__BLAME_NEWS__INIT;

  message.lost = runs;
  message.n_lost = count;
  if (count > 1 && !message_fits (&message))
    {
      lost_runs_send (share, runs, count / 2);
      lost_runs_send (share, runs + count / 2, count - count / 2);
    }
  else if (count > 0)
    message_send (share, &message);
}

struct lost_message
{
  Trefoilspar__BlameLostRun message;
  uint64_t blocks[BLAME_PARTS_MAX];
};

static void
lost_message_write (struct lost_message *lost, struct unsent_run *unsent,
                    int64_t now)
{
  struct blame_run *run = &unsent->run;
  Trefoilspar__BlameLostRun *message = &lost->message;

  trefoilspar__blame_lost_run__init (message);
  message->server = run->server;
  message->server_started_ms = run->server_started_ms;
  message->request = run->parts[run->part_count - 1].id;
  message->suspicion = run->suspicion;
  message->age_ms = ns_to_ms (now - unsent->lost_ns);
  message->blocks = lost->blocks;
  message->n_blocks = run->part_count - 1;
  if (run->part_count > 1)
    message->scope = run->parts[0].scope;
  for (unsigned i = 0; i + 1 < run->part_count; i++)
    lost->blocks[i] = run->parts[i].id;
}

static void
unsent_free (struct blameshare *share, struct unsent_run *unsent)
{
  list_remove (&unsent->node);
  share->unsent_count--;
  g_free (unsent);
}

static void
unsent_tick (struct blameshare *share, int64_t now)
{
  struct lost_message messages[MESSAGE_ITEMS_MAX];
  Trefoilspar__BlameLostRun *runs[MESSAGE_ITEMS_MAX];
  struct list *node = share->unsent.next;
  size_t count = 0;

  for (; node != &share->unsent && count < MESSAGE_ITEMS_MAX;
       node = node->next)
    {
      struct unsent_run *unsent = LIST_ENTRY (node, struct unsent_run, node);

      if (now < unsent->next_send_ns)
        continue;
      lost_message_write (&messages[count], unsent, now);
      runs[count] = &messages[count].message;
      count++;
      unsent->sends_left--;
      unsent->next_send_ns = now + SEND_INTERVAL_MS * NS_PER_MS;
    }
  lost_runs_send (share, runs, count);
  node = share->unsent.next;
  while (node != &share->unsent)
    {
      struct unsent_run *unsent = LIST_ENTRY (node, struct unsent_run, node);

      node = node->next;
      if (unsent->sends_left == 0)
        unsent_free (share, unsent);
    }
}

void
blameshare_run_lost (struct blameshare *share, const struct blame_run *run)
{
  struct unsent_run *unsent;

  if (run->part_count == 0 || !blame_add_lost (&share->blame, run, 0))
    return;
  if (share->unsent_count == BLAMESHARE_UNSENT_MAX)
    unsent_free (share,
                 LIST_ENTRY (share->unsent.next, struct unsent_run, node));
  unsent = g_new0 (struct unsent_run, 1);
  unsent->run = *run;
  unsent->lost_ns = clock_now (share->clock);
  unsent->sends_left = SENDS;
  list_init (&unsent->node);
  list_append (&share->unsent, &unsent->node);
  share->unsent_count++;
}

static void
completed_list_send (struct blameshare *share,
                     Trefoilspar__BlameCompleted **list, size_t count)
{
  Trefoilspar__BlameNews message = TREFOILSPAR__BLAME_NEWS__INIT;

  message.completed = list;
  message.n_completed = count;
  if (count > 1 && !message_fits (&message))
    {
      completed_list_send (share, list, count / 2);
      completed_list_send (share, list + count / 2, count - count / 2);
    }
  else if (count > 0)
    message_send (share, &message);
}

/* Write to COMPLETED how many runs with PART this host has completed. */
static void
completed_write (struct blameshare *share, struct blameevidence_part *part,
                 Trefoilspar__BlameCompleted *completed)
{
  int64_t now = clock_now (share->clock);

  part->told
      = blameevidence_own_completed (&share->blame.evidence, &part->part);
  part->told_ns = now;
  trefoilspar__blame_completed__init (completed);
  completed->scope = part->part.scope;
  completed->id = part->part.id;
  completed->count = (float)part->told;
  completed->age_ms = ns_to_ms (now - part->completed_ns);
}

static void
completed_send (struct blameshare *share, struct blameevidence_part *part)
{
  Trefoilspar__BlameCompleted completed;
  Trefoilspar__BlameCompleted *list[] = { &completed };

  completed_write (share, part, &completed);
  completed_list_send (share, list, 1);
}

static bool
completed_is_news (const struct blameshare *share,
                   const struct blameevidence_part *part, int64_t now)
{
  double own
      = blameevidence_own_completed (&share->blame.evidence, &part->part);

  if (own < 0.5)
    return false;
  return part->told_ns == 0
         || now - part->told_ns >= COMPLETED_REPEAT_MS * NS_PER_MS
         || (own >= part->told + 1 && own < COMPLETED_MANY);
}

/* Completed runs that are to be told. */
struct completed_batch
{
  Trefoilspar__BlameCompleted items[COMPLETED_TOLD_MAX];
  Trefoilspar__BlameCompleted *list[COMPLETED_TOLD_MAX];
  size_t count;
};

static void
batch_add_run (struct completed_batch *batch, struct blameshare *share,
               const struct blameevidence_run *run, int64_t now)
{
  for (unsigned i = 0;
       i < run->part_count && batch->count < COMPLETED_TOLD_MAX; i++)
    {
      struct blameevidence_part *part
          = blameevidence_find (&share->blame.evidence, &run->parts[i]);

      if (part == NULL || !completed_is_news (share, part, now))
        continue;
      completed_write (share, part, &batch->items[batch->count]);
      batch->list[batch->count] = &batch->items[batch->count];
      batch->count++;
    }
}

/* Tell the completed runs with parts that other hosts might blame for one of
 * the last crashes. */
static void
completed_tick (struct blameshare *share, int64_t now)
{
  const struct list *head = &share->blame.evidence.crashes_by_age;
  struct completed_batch batch = { .count = 0 };

  if (now < share->next_completed_ns)
    return;
  share->next_completed_ns = now + COMPLETED_INTERVAL_MS * NS_PER_MS;
  for (const struct list *node = head->next; node != head; node = node->next)
    {
      const struct blameevidence_crash *crash
          = LIST_ENTRY (node, struct blameevidence_crash, node);

      for (const struct list *entry = crash->runs.next; entry != &crash->runs;
           entry = entry->next)
        {
          const struct blameevidence_run *run
              = LIST_ENTRY (entry, struct blameevidence_run, node);

          if (now - run->lost_ns < CRASH_TOLD_S * NS_PER_S)
            batch_add_run (&batch, share, run, now);
        }
    }
  completed_list_send (share, batch.list, batch.count);
}

static void
blocks_send (struct blameshare *share, Trefoilspar__BlameBlocked **blocks,
             size_t count)
{
  Trefoilspar__BlameNews message = TREFOILSPAR__BLAME_NEWS__INIT;

  message.blocked = blocks;
  message.n_blocked = count;
  if (count > 1 && !message_fits (&message))
    {
      blocks_send (share, blocks, count / 2);
      blocks_send (share, blocks + count / 2, count - count / 2);
    }
  else if (count > 0)
    message_send (share, &message);
}

/* Tell the blocks. */
static void
blocks_tell (struct blameshare *share, int64_t now)
{
  Trefoilspar__BlameBlocked messages[BLAME_BLOCKS_MAX];
  Trefoilspar__BlameBlocked *list[BLAME_BLOCKS_MAX];
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  share->next_blocks_ns = now + BLOCKS_INTERVAL_MS * NS_PER_MS;
  g_hash_table_iter_init (&iter, share->blame.blocks);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && count < BLAME_BLOCKS_MAX)
    {
      const struct blame_block *block = value;
      Trefoilspar__BlameBlocked *message = &messages[count];

      trefoilspar__blame_blocked__init (message);
      message->scope = block->part.scope;
      message->id = block->part.id;
      message->crashes = block->crashes;
      message->left_ms = (int32_t)CLAMP ((block->until_ns - now) / NS_PER_MS,
                                         -G_MAXINT32, G_MAXINT32);
      message->hold_ms = ns_to_ms (block->hold_ns);
      message->age_ms = ns_to_ms (now - block->since_ns);
      list[count++] = message;
    }
  blocks_send (share, list, count);
}

static const char *
part_kind (const struct blame_part *part)
{
  return part->scope == 0 ? "request" : "block";
}

static void
part_blocked (void *data, const struct blame_block *block)
{
  struct blameshare *share = data;
  char labels[64];

  log_event (share->log, EVENT_PART_BLAMED,
             "part=%lx scope=%lx kind=%s source=%s crashes=%u completed=%.1f "
             "hold_s=%.0f blocked=%u",
             (unsigned long)block->part.id, (unsigned long)block->part.scope,
             part_kind (&block->part), blame_source_name (block->source),
             block->crashes,
             blameevidence_completed (&share->blame.evidence, &block->part),
             (double)block->hold_ns / NS_PER_S,
             g_hash_table_size (share->blame.blocks));
  g_snprintf (labels, sizeof labels, "kind=\"%s\",source=\"%s\"",
              part_kind (&block->part), blame_source_name (block->source));
  metrics_add (share->metrics, "trefoilspar_parts_blamed_total", labels, 1);
  if (block->source == BLAME_FOUND)
    blocks_tell (share, clock_now (share->clock));
}

static void
part_released (void *data, const struct blame_part *part, const char *reason)
{
  struct blameshare *share = data;
  struct blameevidence_part *record
      = blameevidence_find (&share->blame.evidence, part);

  log_event (share->log, EVENT_PART_RELEASED,
             "part=%lx scope=%lx kind=%s reason=%s completed=%.1f",
             (unsigned long)part->id, (unsigned long)part->scope,
             part_kind (part), reason,
             blameevidence_completed (&share->blame.evidence, part));
  blamestore_remove (&share->store, part);
  if (record != NULL && record->completed > 0)
    completed_send (share, record);
}

static void
crash_explained (void *data, const char *server)
{
  struct blameshare *share = data;

  share->ops->explained (share->data, server);
}

static bool
may_try (void *data, const struct blame_part *part, int64_t late_ns)
{
  const struct blameshare *share = data;

  return late_ns
         >= (int64_t)presence_rank (share->presence, part, sizeof *part)
                * TRY_STAGGER_S * NS_PER_S;
}

static bool
is_informed (void *data)
{
  const struct blameshare *share = data;

  return g_hash_table_size (share->presence->hosts) == 0
         || clock_now (share->clock) - share->started_ns
                >= START_MS * NS_PER_MS;
}

static const struct blame_ops blame_ops
    = { part_blocked, part_released, crash_explained, is_informed, may_try };

void
blameshare_init (struct blameshare *share, struct kv *kv,
                 const struct clock *clock, const struct presence *presence,
                 struct log *log, struct metrics *metrics, const char *prefix,
                 const struct blameshare_ops *ops, void *data)
{
  memset (share, 0, sizeof *share);
  share->clock = clock;
  share->started_ns = clock_now (clock);
  share->presence = presence;
  share->log = log;
  share->metrics = metrics;
  share->ops = ops;
  share->data = data;
  list_init (&share->unsent);
  blame_init (&share->blame, clock, &blame_ops, share);
  blamestore_init (&share->store, &share->blame, kv, clock, presence, prefix);
}

void
blameshare_finish (struct blameshare *share)
{
  while (!list_empty (&share->unsent))
    unsent_free (share,
                 LIST_ENTRY (share->unsent.next, struct unsent_run, node));
  blamestore_finish (&share->store);
  blame_finish (&share->blame);
}

static bool
lost_read (const Trefoilspar__BlameLostRun *message, struct blame_run *run)
{
  if (message->n_blocks >= BLAME_PARTS_MAX || message->server[0] == '\0'
      || strlen (message->server) >= sizeof run->server)
    return false;
  g_strlcpy (run->server, message->server, sizeof run->server);
  run->server_started_ms = message->server_started_ms;
  run->suspicion
      = (enum blame_suspicion)MIN (message->suspicion, BLAME_LIKELY);
  for (size_t i = 0; i < message->n_blocks; i++)
    run->parts[run->part_count++]
        = (struct blame_part){ message->scope, message->blocks[i] };
  run->parts[run->part_count++] = (struct blame_part){ 0, message->request };
  return true;
}

static void
completed_received (struct blameshare *share, uint64_t host,
                    const Trefoilspar__BlameCompleted *message)
{
  struct blame_part part = { message->scope, message->id };

  if (isfinite (message->count) && message->count > 0
      && message->count <= COMPLETED_MAX)
    blame_add_report (&share->blame, host, &part, message->count,
                      ms_to_ns (message->age_ms));
}

static void
blocked_received (struct blameshare *share,
                  const Trefoilspar__BlameBlocked *message)
{
  struct blame_block other = { .part = { message->scope, message->id },
                               .source = BLAME_TOLD,
                               .crashes = message->crashes,
                               .hold_ns = ms_to_ns (message->hold_ms) };
  struct blameevidence_part *record;

  if (blame_add_block (&share->blame, &other,
                       (int64_t)message->left_ms * NS_PER_MS,
                       ms_to_ns (message->age_ms)))
    return;
  record = blameevidence_find (&share->blame.evidence, &other.part);
  if (record != NULL && record->completed > 0)
    completed_send (share, record);
}

bool
blameshare_receive (struct blameshare *share, const struct sockaddr_in *from,
                    const uint8_t *bytes, size_t size)
{
  Trefoilspar__BlameNews *news
      = trefoilspar__blame_news__unpack (NULL, size, bytes);
  uint64_t host = (uint64_t)from->sin_addr.s_addr << 16 | from->sin_port;

  if (news == NULL)
    return false;
  for (size_t i = 0; i < news->n_lost; i++)
    {
      struct blame_run run = { .part_count = 0 };

      if (lost_read (news->lost[i], &run))
        blame_add_lost (&share->blame, &run, ms_to_ns (news->lost[i]->age_ms));
    }
  for (size_t i = 0; i < news->n_completed; i++)
    completed_received (share, host, news->completed[i]);
  for (size_t i = 0; i < news->n_blocked; i++)
    blocked_received (share, news->blocked[i]);
  /* Another host has told all of the blocks that this one has. */
  if (news->n_blocked > 0
      && news->n_blocked >= g_hash_table_size (share->blame.blocks))
    share->next_blocks_ns
        = clock_now (share->clock) + BLOCKS_INTERVAL_MS * NS_PER_MS;
  trefoilspar__blame_news__free_unpacked (news, NULL);
  return true;
}

void
blameshare_tick (struct blameshare *share)
{
  int64_t now = clock_now (share->clock);

  unsent_tick (share, now);
  completed_tick (share, now);
  blame_tick (&share->blame);
  if (now >= share->next_blocks_ns
      && g_hash_table_size (share->blame.blocks) > 0)
    blocks_tell (share, now);
  blamestore_tick (&share->store);
}
