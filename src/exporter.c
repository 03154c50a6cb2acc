#include "exporter.h"

#include <glib.h>
#include <string.h>

#define QUEUE_MAX_AGE_NS (60 * NS_PER_S)

enum
{
  QUEUE_ITEMS_MAX = 4096,
  IN_FLIGHT_MAX = 8,
  STORES_MAX = 16,
  /* Maximum number of candidates for each tier of a store. */
  EVICT_CANDIDATES_MAX = 8,
  TARGETS_MAX = STORES_MAX * BLOCKCOPY_TIER_COUNT,
  /* The bucket of a bandwidth budget holds 1/4 s of its rate. */
  BURSTS_PER_SECOND = 4
};

/* The export of one block to a store. */
struct export_transfer
{
  struct exporter *exporter;
  struct exportqueue_item item;
  struct blockcopy_ref ref;
  struct store_slot slot;
  int64_t length;
};

/* All targets among which an export may choose. */
struct target_list
{
  struct export_target targets[TARGETS_MAX];
  const struct blockcopy *evict_candidates[TARGETS_MAX][EVICT_CANDIDATES_MAX];
  size_t count;
};

static int64_t
block_length_bytes (const struct exporter *exporter)
{
  const struct settings *settings = exporter->process->settings;

  return settings->placement.piece_tokens
         * settings->placement.piece_bytes_per_token;
}

static size_t
live_shard_count (const struct exporter *exporter)
{
  const struct roster *roster = &exporter->process->roster;
  size_t count = 0;

  for (size_t i = 0; i < roster->count; i++)
    count += roster->entries[i].role == ROLE_SHARD && roster->entries[i].alive;
  return count > 0 ? count : 1;
}

/* The bandwidth budget of this shard for exports to STORE. All live shards
 * share the part of the network link's bandwidth that exports may use. */
static struct linkbudget *
store_link_budget (struct exporter *exporter, uint64_t store)
{
  const struct settings *settings = exporter->process->settings;
  struct linkbudget *link
      = g_hash_table_lookup (exporter->link_budgets, &store);
  int64_t rate = (int64_t)((double)settings->stores.link_bytes_per_s
                           * settings->export.link_share
                           / (double)live_shard_count (exporter));
  uint64_t *key;

  if (rate < 1)
    rate = 1;
  if (link != NULL)
    {
      if (link->configured_rate != rate)
        linkbudget_set_rate (link, rate);
      return link;
    }
  link = g_new0 (struct linkbudget, 1);
  linkbudget_init (link, &exporter->process->clock, rate,
                   rate / BURSTS_PER_SECOND + 1, 0);
  key = g_new (uint64_t, 1);
  *key = store;
  g_hash_table_insert (exporter->link_budgets, key, link);
  return link;
}

static void
collect_targets (struct exporter *exporter, struct target_list *list)
{
  struct storewatch_store stores[STORES_MAX];
  size_t count = storewatch_copy_stores (exporter->stores, stores, STORES_MAX);
  struct blockcopy_table *copies = &exporter->index->copies;

  list->count = 0;
  for (size_t i = 0; i < count * BLOCKCOPY_TIER_COUNT; i++)
    {
      const struct storewatch_store *store = &stores[i / BLOCKCOPY_TIER_COUNT];
      enum blockcopy_tier tier
          = (enum blockcopy_tier) (i % BLOCKCOPY_TIER_COUNT);
      struct export_target *target = &list->targets[i];

      target->store = store->id;
      target->tier = tier;
      target->may_reserve
          = blockcopy_store_has_capacity (copies, store->id, tier);
      target->free_bytes = store->free_bytes[tier];
      target->link_budget = store_link_budget (exporter, store->id);
      target->evict_candidates = list->evict_candidates[i];
      target->evict_candidate_count = blockcopy_least_recent (
          copies, store->id, tier, list->evict_candidates[i],
          EVICT_CANDIDATES_MAX);
      list->count++;
    }
}

static void
transfer_end (struct export_transfer *transfer, const char *result)
{
  struct exporter *exporter = transfer->exporter;
  char labels[64];

  g_snprintf (labels, sizeof labels, "result=\"%s\"", result);
  metrics_add (&exporter->process->metrics, "exports", labels, 1);
  exporter->in_flight--;
  g_free (transfer);
}

/* Completes an export whose block the engine has written, if the store's
 * listing contains the block as sealed. */
static void
listing_received (void *data, enum status status,
                  const struct store_listing *listing)
{
  struct export_transfer *transfer = data;
  struct exporter *exporter = transfer->exporter;
  uint64_t checksum;

  for (size_t i = 0; status == STATUS_OK && i < listing->count; i++)
    {
      const struct store_block *block = &listing->blocks[i];

      if (block->slot.number != transfer->slot.number || !block->sealed
          || block_checksum_from_hex (&checksum, block->checksum) != STATUS_OK)
        continue;
      if (blockcopy_sealed (&exporter->index->copies, &transfer->ref,
                            block->slot.generation, (int64_t)block->length,
                            checksum)
          == STATUS_OK)
        {
          metrics_add (&exporter->process->metrics, "export_bytes", "",
                       (double)transfer->length);
          transfer_end (transfer, "sealed");
          return;
        }
    }
  blockcopy_withdraw (&exporter->index->copies, &transfer->ref,
                      transfer->slot.generation);
  transfer_end (transfer, "not_sealed");
}

static void
block_written (void *data, enum status status,
               const struct engine_export_result *exported)
{
  struct export_transfer *transfer = data;
  struct exporter *exporter = transfer->exporter;
  struct storeclient *client = &exporter->process->storehttp.client;
  const char *address
      = storewatch_find_address (exporter->stores, transfer->ref.store);
  uint64_t checksum;

  if (status != STATUS_OK || address == NULL
      || block_checksum_from_hex (&checksum, exported->checksum) != STATUS_OK
      || blockcopy_written (&exporter->index->copies, &transfer->ref,
                            transfer->slot.generation,
                            (int64_t)exported->length, checksum)
             != STATUS_OK)
    {
      blockcopy_withdraw (&exporter->index->copies, &transfer->ref,
                          transfer->slot.generation);
      transfer_end (transfer, status == STATUS_NOT_FOUND ? "gone" : "failed");
      return;
    }
  client->ops->get_listing (
      client, address,
      transfer->slot.number > 0 ? transfer->slot.number - 1 : UINT64_MAX,
      listing_received, transfer);
}

static void
slot_reserved (void *data, enum status status, const struct store_slot *slot)
{
  struct export_transfer *transfer = data;
  struct exporter *exporter = transfer->exporter;
  struct engineclient *client = &exporter->process->enginehttp.client;
  struct blockcopy_table *copies = &exporter->index->copies;
  const char *engine
      = enginewatch_find_address (exporter->engines, transfer->item.engine);
  const char *store
      = storewatch_find_address (exporter->stores, transfer->ref.store);
  char hex[BLOCK_HEX_SIZE];
  char url[128];
  struct engine_export_order order = { hex, url, 0 };

  if (status != STATUS_OK)
    {
      blockcopy_slot_refused (copies, &transfer->ref,
                              status == STATUS_LIMITED);
      transfer_end (transfer, status == STATUS_LIMITED ? "full" : "failed");
      return;
    }
  transfer->slot = *slot;
  if (blockcopy_slot_assigned (copies, &transfer->ref, slot->number,
                               slot->generation)
      != STATUS_OK)
    {
      transfer_end (transfer, "given_up");
      return;
    }
  if (engine == NULL || store == NULL)
    {
      blockcopy_withdraw (copies, &transfer->ref, slot->generation);
      transfer_end (transfer, "given_up");
      return;
    }
  block_id_to_hex (&transfer->item.block, hex);
  storehttp_slot_url (store, slot, url, sizeof url);
  order.generation = slot->generation;
  client->ops->export_block (client, engine, &order, block_written, transfer);
}

static void
log_decision (struct exporter *exporter, const struct exportqueue_item *item,
              const struct export_decision *decision,
              const struct export_target *target)
{
  char hex[BLOCK_HEX_SIZE];

  block_id_to_hex (&item->block, hex);
  log_event (&exporter->process->log, EVENT_EXPORT,
             "block=%s organisation=%s reason=%s value_s=%.6f store=%s "
             "tier=%s evicts=%s",
             hex, item->scope.organisation,
             export_reason_name (decision->reason), decision->value_s,
             storewatch_find_address (exporter->stores, target->store),
             target->tier == BLOCKCOPY_DISK ? "disk" : "memory",
             decision->victim != NULL ? "yes" : "no");
}

static void
evict_copy (struct exporter *exporter, const struct blockcopy *victim)
{
  struct blockcopy_ref ref
      = { &victim->entry->scope->scope, victim->entry->id, victim->store->id };

  blockcopy_withdraw (&exporter->index->copies, &ref, victim->generation);
}

static void
transfer_begin (struct exporter *exporter, const struct exportqueue_item *item,
                const struct export_decision *decision,
                const struct export_target *target)
{
  struct storeclient *client = &exporter->process->storehttp.client;
  struct export_transfer *transfer = g_new0 (struct export_transfer, 1);
  char hex[BLOCK_HEX_SIZE];
  struct store_reservation reservation = {
    .block = hex,
    .organisation = item->scope.organisation,
    .model = item->scope.model,
    .version = item->scope.version,
    .adapter = item->scope.adapter,
    .index = item->position,
    .disk = target->tier == BLOCKCOPY_DISK,
  };

  log_decision (exporter, item, decision, target);
  transfer->exporter = exporter;
  transfer->item = *item;
  transfer->ref.scope = &transfer->item.scope;
  transfer->ref.block = item->block;
  transfer->ref.store = target->store;
  transfer->length = block_length_bytes (exporter);
  reservation.length = (uint64_t)transfer->length;
  exporter->in_flight++;
  if (decision->victim != NULL)
    evict_copy (exporter, decision->victim);
  if (blockcopy_reserve (&exporter->index->copies, &transfer->ref,
                         target->tier, transfer->length)
      != STATUS_OK)
    {
      transfer_end (transfer, "refused");
      return;
    }
  storewatch_count_reserved (exporter->stores, target->store, target->tier,
                             transfer->length);
  block_id_to_hex (&item->block, hex);
  client->ops->reserve (
      client, storewatch_find_address (exporter->stores, target->store),
      &reservation, slot_reserved, transfer);
}

static void
count_decision (struct exporter *exporter, enum export_reason reason)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"",
              export_reason_name (reason));
  metrics_add (&exporter->process->metrics, "export_decisions", labels, 1);
}

/* Decides whether to export the first block of the queue, and begins the
 * export if so.
 * @return whether the next block may be handled in the same tick. */
static bool
export_next_block (struct exporter *exporter, struct target_list *list)
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
  block.length = block_length_bytes (exporter);
  held = blockcopy_exists (&exporter->index->copies, &item.scope, &item.block);
  export_decide (&exporter->policy, &block, held, list->targets, list->count,
                 &decision);
  count_decision (exporter, decision.reason);
  if (decision.reason == EXPORT_LINK_BUSY)
    {
      exportqueue_push (&exporter->queue, &item);
      return false;
    }
  if (decision.reason == EXPORT_KEPT)
    {
      transfer_begin (exporter, &item, &decision,
                      &list->targets[decision.target_index]);
      collect_targets (exporter, list);
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
  settings.horizon_ns[BLOCKCOPY_DISK] = process->settings->export.horizon_ns;
  export_init (&exporter->policy, &process->clock, &settings);
  exportqueue_init (&exporter->queue, &process->clock, QUEUE_ITEMS_MAX,
                    QUEUE_MAX_AGE_NS);
  exporter->link_budgets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
exporter_finish (struct exporter *exporter)
{
  export_finish (&exporter->policy);
  exportqueue_finish (&exporter->queue);
  g_hash_table_destroy (exporter->link_budgets);
}

void
exporter_count_lookup (struct exporter *exporter, const char *organisation,
                       uint32_t kind, int64_t idle_ns)
{
  export_count_request (&exporter->policy, organisation, kind, idle_ns);
}

void
exporter_queue_blocks (struct exporter *exporter,
                       const struct block_scope *scope,
                       const struct block_id *ids, size_t count,
                       uint64_t engine, uint32_t kind)
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

      if (blockcopy_exists (&exporter->index->copies, scope, &ids[i]))
        continue;
      block.tokens = exporter->process->settings->placement.piece_tokens;
      block.length = block_length_bytes (exporter);
      item.gain = export_value_s (&exporter->policy, &block, BLOCKCOPY_MEMORY);
      exportqueue_push (&exporter->queue, &item);
    }
}

void
exporter_tick (struct exporter *exporter)
{
  struct target_list list;

  if (exportqueue_is_empty (&exporter->queue)
      || exporter->in_flight >= IN_FLIGHT_MAX)
    return;
  collect_targets (exporter, &list);
  while (exporter->in_flight < IN_FLIGHT_MAX
         && export_next_block (exporter, &list))
    ;
}
