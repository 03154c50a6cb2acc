#include "exporter.h"

#include <glib.h>
#include <string.h>

#define QUEUE_LIFE_NS (60 * NS_PER_S)

enum
{
  QUEUE_MAX = 4096,
  IN_FLIGHT_MAX = 8,
  STORES_MAX = 16,
  OLDEST_MAX = 8, /* candidates to evict looked at in one tier */
  TARGETS_MAX = STORES_MAX * COPY_TIERS,
  BURST_PART = 4 /* a link's bucket holds the rate of a quarter second */
};

/* One block on its way to a store. */
struct transfer
{
  struct exporter *exporter;
  struct exportqueue_item item;
  struct copy_ref ref;
  struct store_slot slot;
  int64_t length;
};

/* The targets of one decision. */
struct choices
{
  struct export_target targets[TARGETS_MAX];
  const struct copy *oldest[TARGETS_MAX][OLDEST_MAX];
  size_t count;
};

static int64_t
piece_length (const struct exporter *exporter)
{
  const struct settings *settings = exporter->process->settings;

  return settings->placement.piece_tokens
         * settings->placement.piece_bytes_per_token;
}

static size_t
live_shards (const struct exporter *exporter)
{
  const struct roster *roster = &exporter->process->roster;
  size_t count = 0;

  for (size_t i = 0; i < roster->count; i++)
    count += roster->entries[i].role == ROLE_SHARD && roster->entries[i].alive;
  return count > 0 ? count : 1;
}

/* This shard's part of the share of a store's link that exports may use. */
static struct link *
link_of (struct exporter *exporter, uint64_t store)
{
  const struct settings *settings = exporter->process->settings;
  struct link *link = g_hash_table_lookup (exporter->links, &store);
  int64_t rate = (int64_t)((double)settings->stores.link_bytes_per_s
                           * settings->export.link_share
                           / (double)live_shards (exporter));
  uint64_t *key;

  if (rate < 1)
    rate = 1;
  if (link != NULL)
    {
      if (link->configured != rate)
        link_set_rate (link, rate);
      return link;
    }
  link = g_new0 (struct link, 1);
  link_init (link, &exporter->process->clock, rate, rate / BURST_PART + 1, 0);
  key = g_new (uint64_t, 1);
  *key = store;
  g_hash_table_insert (exporter->links, key, link);
  return link;
}

static void
gather_choices (struct exporter *exporter, struct choices *choices)
{
  struct storewatch_store stores[STORES_MAX];
  size_t count = storewatch_stores (exporter->stores, stores, STORES_MAX);
  struct copy_table *copies = &exporter->index->copies;

  choices->count = 0;
  for (size_t i = 0; i < count * COPY_TIERS; i++)
    {
      const struct storewatch_store *store = &stores[i / COPY_TIERS];
      enum copy_tier tier = (enum copy_tier) (i % COPY_TIERS);
      struct export_target *target = &choices->targets[i];

      target->store = store->id;
      target->tier = tier;
      target->open = copy_may_reserve (copies, store->id, tier);
      target->free_bytes = store->free_bytes[tier];
      target->link = link_of (exporter, store->id);
      target->oldest = choices->oldest[i];
      target->oldest_count = copy_oldest (copies, store->id, tier,
                                          choices->oldest[i], OLDEST_MAX);
      choices->count++;
    }
}

static void
transfer_end (struct transfer *transfer, const char *result)
{
  struct exporter *exporter = transfer->exporter;
  char labels[64];

  g_snprintf (labels, sizeof labels, "result=\"%s\"", result);
  metrics_add (&exporter->process->metrics, "exports", labels, 1);
  exporter->in_flight--;
  g_free (transfer);
}

/* The store's own word, after the writer's. */
static void
listed (void *data, enum status status, const struct store_listing *listing)
{
  struct transfer *transfer = data;
  struct exporter *exporter = transfer->exporter;
  uint64_t checksum;

  for (size_t i = 0; status == STATUS_OK && i < listing->count; i++)
    {
      const struct store_block *block = &listing->blocks[i];

      if (block->at.slot != transfer->slot.slot || !block->sealed
          || block_checksum_from_hex (&checksum, block->checksum) != STATUS_OK)
        continue;
      if (copy_sealed (&exporter->index->copies, &transfer->ref,
                       block->at.generation, (int64_t)block->length, checksum)
          == STATUS_OK)
        {
          metrics_add (&exporter->process->metrics, "export_bytes", "",
                       (double)transfer->length);
          transfer_end (transfer, "sealed");
          return;
        }
    }
  copy_condemn (&exporter->index->copies, &transfer->ref,
                transfer->slot.generation);
  transfer_end (transfer, "not_sealed");
}

static void
written (void *data, enum status status,
         const struct engine_exported *exported)
{
  struct transfer *transfer = data;
  struct exporter *exporter = transfer->exporter;
  struct storeclient *client = &exporter->process->storehttp.client;
  const char *address
      = storewatch_address (exporter->stores, transfer->ref.store);
  uint64_t checksum;

  if (status != STATUS_OK || address == NULL
      || block_checksum_from_hex (&checksum, exported->checksum) != STATUS_OK
      || copy_written (&exporter->index->copies, &transfer->ref,
                       transfer->slot.generation, (int64_t)exported->length,
                       checksum)
             != STATUS_OK)
    {
      copy_condemn (&exporter->index->copies, &transfer->ref,
                    transfer->slot.generation);
      transfer_end (transfer, status == STATUS_NOT_FOUND ? "gone" : "failed");
      return;
    }
  client->ops->listing (client, address,
                        transfer->slot.slot > 0 ? transfer->slot.slot - 1
                                                : UINT64_MAX,
                        listed, transfer);
}

static void
reserved (void *data, enum status status, const struct store_slot *slot)
{
  struct transfer *transfer = data;
  struct exporter *exporter = transfer->exporter;
  struct engineclient *client = &exporter->process->enginehttp.client;
  struct copy_table *copies = &exporter->index->copies;
  const char *engine
      = enginewatch_any_address (exporter->engines, transfer->item.engine);
  const char *store
      = storewatch_address (exporter->stores, transfer->ref.store);
  char hex[BLOCK_HEX_SIZE];
  char url[128];
  struct engine_export order = { hex, url, 0 };

  if (status != STATUS_OK)
    {
      copy_refused (copies, &transfer->ref, status == STATUS_LIMITED);
      transfer_end (transfer, status == STATUS_LIMITED ? "full" : "failed");
      return;
    }
  transfer->slot = *slot;
  if (copy_reserved (copies, &transfer->ref, slot->slot, slot->generation)
      != STATUS_OK)
    {
      transfer_end (transfer, "given_up");
      return;
    }
  if (engine == NULL || store == NULL)
    {
      copy_condemn (copies, &transfer->ref, slot->generation);
      transfer_end (transfer, "given_up");
      return;
    }
  block_to_hex (&transfer->item.block, hex);
  storehttp_url (store, slot, url, sizeof url);
  order.generation = slot->generation;
  client->ops->export_block (client, engine, &order, written, transfer);
}

static void
log_choice (struct exporter *exporter, const struct exportqueue_item *item,
            const struct export_decision *decision,
            const struct export_target *target)
{
  char hex[BLOCK_HEX_SIZE];

  block_to_hex (&item->block, hex);
  log_event (&exporter->process->log, EVENT_EXPORT,
             "block=%s organisation=%s reason=%s value_s=%.6f store=%s "
             "tier=%s evicts=%s",
             hex, item->scope.organisation,
             export_reason_name (decision->reason), decision->value_s,
             storewatch_address (exporter->stores, target->store),
             target->tier == COPY_DISK ? "disk" : "memory",
             decision->victim != NULL ? "yes" : "no");
}

static void
evict (struct exporter *exporter, const struct copy *victim)
{
  struct copy_ref ref
      = { &victim->entry->scope->scope, victim->entry->id, victim->store->id };

  copy_condemn (&exporter->index->copies, &ref, victim->generation);
}

static void
begin (struct exporter *exporter, const struct exportqueue_item *item,
       const struct export_decision *decision,
       const struct export_target *target)
{
  struct storeclient *client = &exporter->process->storehttp.client;
  struct transfer *transfer = g_new0 (struct transfer, 1);
  char hex[BLOCK_HEX_SIZE];
  struct store_reservation reservation = {
    .block = hex,
    .organisation = item->scope.organisation,
    .model = item->scope.model,
    .version = item->scope.version,
    .adapter = item->scope.adapter,
    .index = item->position,
    .disk = target->tier == COPY_DISK,
  };

  log_choice (exporter, item, decision, target);
  transfer->exporter = exporter;
  transfer->item = *item;
  transfer->ref.scope = &transfer->item.scope;
  transfer->ref.block = item->block;
  transfer->ref.store = target->store;
  transfer->length = piece_length (exporter);
  reservation.length = (uint64_t)transfer->length;
  exporter->in_flight++;
  if (decision->victim != NULL)
    evict (exporter, decision->victim);
  if (copy_reserve (&exporter->index->copies, &transfer->ref, target->tier,
                    transfer->length)
      != STATUS_OK)
    {
      transfer_end (transfer, "refused");
      return;
    }
  storewatch_take (exporter->stores, target->store, target->tier,
                   transfer->length);
  block_to_hex (&item->block, hex);
  client->ops->reserve (client,
                        storewatch_address (exporter->stores, target->store),
                        &reservation, reserved, transfer);
}

static void
count_decision (struct exporter *exporter, enum export_reason reason)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"",
              export_reason_name (reason));
  metrics_add (&exporter->process->metrics, "export_decisions", labels, 1);
}

/* Whether the next one may be looked at in this tick. */
static bool
export_next (struct exporter *exporter, struct choices *choices)
{
  struct exportqueue_item item;
  struct export_decision decision;
  struct export_block block = { 0 };
  bool held;

  if (!exportqueue_pop (&exporter->queue, &item))
    return false;
  block.organisation = item.scope.organisation;
  block.kind = item.kind;
  block.position = item.position;
  block.tokens = exporter->process->settings->placement.piece_tokens;
  block.length = piece_length (exporter);
  held = copy_held (&exporter->index->copies, &item.scope, &item.block);
  export_decide (&exporter->policy, &block, held, choices->targets,
                 choices->count, &decision);
  count_decision (exporter, decision.reason);
  if (decision.reason == EXPORT_LINK_BUSY)
    {
      exportqueue_push (&exporter->queue, &item);
      return false;
    }
  if (decision.reason == EXPORT_KEPT)
    {
      begin (exporter, &item, &decision, &choices->targets[decision.target]);
      gather_choices (exporter, choices);
    }
  return true;
}

void
exporter_init (struct exporter *exporter, struct process *process,
               struct blockindex *index, struct enginewatch *engines,
               struct storewatch *stores)
{
  struct export_settings settings = export_settings_default;

  memset (exporter, 0, sizeof *exporter);
  exporter->process = process;
  exporter->index = index;
  exporter->engines = engines;
  exporter->stores = stores;
  settings.horizon_ns[COPY_DISK] = process->settings->export.horizon_ns;
  export_init (&exporter->policy, &process->clock, &settings);
  exportqueue_init (&exporter->queue, &process->clock, QUEUE_MAX,
                    QUEUE_LIFE_NS);
  exporter->links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
exporter_finish (struct exporter *exporter)
{
  export_finish (&exporter->policy);
  exportqueue_finish (&exporter->queue);
  g_hash_table_destroy (exporter->links);
}

void
exporter_observe (struct exporter *exporter, const char *organisation,
                  uint32_t kind, int64_t idle_ns)
{
  export_observe (&exporter->policy, organisation, kind, idle_ns);
}

void
exporter_offer (struct exporter *exporter, const struct block_scope *scope,
                const struct block_id *ids, size_t count, uint64_t engine,
                uint32_t kind)
{
  if (!exporter->process->settings->export.enabled)
    return;
  for (size_t i = 0; i < count; i++)
    {
      struct exportqueue_item item = { .scope = *scope,
                                       .block = ids[i],
                                       .engine = engine,
                                       .kind = kind,
                                       .position = (uint16_t)i };
      struct export_block block = { .organisation = scope->organisation,
                                    .kind = kind,
                                    .position = (uint16_t)i };

      if (copy_held (&exporter->index->copies, scope, &ids[i]))
        continue;
      block.tokens = exporter->process->settings->placement.piece_tokens;
      block.length = piece_length (exporter);
      item.gain = export_value (&exporter->policy, &block, COPY_MEMORY);
      exportqueue_push (&exporter->queue, &item);
    }
}

void
exporter_tick (struct exporter *exporter)
{
  struct choices choices;

  if (exportqueue_empty (&exporter->queue)
      || exporter->in_flight >= IN_FLIGHT_MAX)
    return;
  gather_choices (exporter, &choices);
  while (exporter->in_flight < IN_FLIGHT_MAX
         && export_next (exporter, &choices))
    ;
}
