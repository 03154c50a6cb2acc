#include "kvstores.h"
#include "kvstoreuse.h"
#include "storeupdate.h"
#include "unit.h"

#include <string.h>

/* The last poll of the store, to which the test replies. */
static struct
{
  cache_reply_received reply_received;
  void *data;
  uint64_t since;
  bool is_list;
  unsigned count;
} last_poll;

static struct clock_fake fake_clock;
static struct log null_log;
static struct kvstores kvstores;

static void
fake_cache_events (struct httpjson *httpjson, const char *address,
                   uint64_t since, int64_t wait_ns, int64_t timeout_ns,
                   cache_reply_received reply_received, void *data)
{
  last_poll.reply_received = reply_received;
  last_poll.data = data;
  last_poll.since = since;
  last_poll.is_list = false;
  last_poll.count++;
}

static void
fake_cache_list (struct httpjson *httpjson, const char *address,
                 int64_t timeout_ns, cache_reply_received reply_received,
                 void *data)
{
  fake_cache_events (httpjson, address, 0, 0, timeout_ns, reply_received,
                     data);
  last_poll.is_list = true;
}

static const struct dialect fake_dialect
    = { .cache_events = fake_cache_events, .cache_list = fake_cache_list };

static const struct call_block test_block = { 0xabc, 100 };

static void
setup (void)
{
  struct routes *routes = routes_new ();
  struct service *service = routes_add_service (routes, "s");

  memset (&last_poll, 0, sizeof last_poll);
  clock_fake_init (&fake_clock, 50 * NS_PER_S);
  log_null_init (&null_log);
  service->is_store = true;
  service->address = g_strdup ("10.0.0.1:80");
  service->data_centre = g_strdup ("dc");
  service->kv_capacity_tokens = 1000;
  kvstores_init (&kvstores, &kvstores_settings_default, &fake_clock.clock,
                 &null_log, &fake_dialect, NULL);
  kvstores_configure (&kvstores, routes);
  kvstores_tick (&kvstores);
  routes_unref (routes);
}

static void
finish (void)
{
  kvstores_finish (&kvstores);
}

static void
reply_to_poll (uint64_t epoch, uint64_t next, bool has_gap,
               unsigned block_tokens, bool removed)
{
  struct cache_block reported_block
      = { .id = test_block.id, .tokens = block_tokens, .removed = removed };
  struct cache_report report
      = { .replied = true,
          .is_list = last_poll.is_list,
          .has_gap = has_gap,
          .epoch = epoch,
          .last_change_number = next,
          .blocks = &reported_block,
          .block_count = block_tokens > 0 || removed ? 1 : 0 };

  g_strlcpy (reported_block.scope, "m:1:", sizeof reported_block.scope);
  last_poll.reply_received (last_poll.data, &report);
  clock_fake_advance (&fake_clock, NS_PER_S / 4);
  kvstores_tick (&kvstores);
}

static bool
block_is_stored (const char *scope)
{
  return kvstores_find_block (&kvstores, scope, &test_block, "dc", NULL)
         != NULL;
}

static void
test_only_whole_blocks_of_the_scope (void)
{
  setup ();
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  reply_to_poll (9, 1, false, 60, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  reply_to_poll (9, 2, false, 100, false);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  CU_ASSERT_FALSE (block_is_stored ("m:2:"));
  CU_ASSERT_FALSE (block_is_stored ("m:1:org"));
  reply_to_poll (9, 3, false, 0, true);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  finish ();
}

/* Reply to polls for NS that nothing has changed. */
static void
reply_for (int64_t ns, uint64_t epoch, uint64_t next)
{
  int64_t end = fake_clock.now_ns + ns;

  while (fake_clock.now_ns < end)
    reply_to_poll (epoch, next, false, 0, false);
}

/* Hosts of a large fleet, which poll a store themselves once in 15 s only,
 * saved nothing for twice that time after they had met it. */
static void
test_large_fleet_saves_soon (void)
{
  setup ();
  kvstores_set_rotation (&kvstores, 295, 290);
  reply_to_poll (9, 2, false, 100, false);
  CU_ASSERT_PTR_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  reply_for (4 * NS_PER_S, 9, 2);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  finish ();
}

/* Beside hosts of an earlier version, which fetch until their next own poll,
 * blocks were saved to a restarted store before these noticed the restart. */
static void
test_hosts_of_an_earlier_version (void)
{
  setup ();
  kvstores.restarts_noticed_late = true;
  kvstores_set_rotation (&kvstores, 295, 290);
  reply_to_poll (9, 2, false, 100, false);
  reply_for (28 * NS_PER_S, 9, 2);
  CU_ASSERT_PTR_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  reply_for (2 * NS_PER_S, 9, 2);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  finish ();
}

/* A restarted store holds no blocks, and blocks are saved to it only after the
 * grace period in which every host notices the restart. */
static void
test_store_restart (void)
{
  setup ();
  reply_to_poll (9, 2, false, 100, false);
  reply_for (4 * NS_PER_S, 9, 2);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  reply_to_poll (10, 0, false, 0, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  CU_ASSERT_EQUAL (last_poll.since, 0);
  reply_to_poll (10, 1, false, 100, false);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  CU_ASSERT_PTR_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  clock_fake_advance (&fake_clock, 4 * NS_PER_S);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc", NULL));
  finish ();
}

static void
test_silent_store_holds_nothing (void)
{
  const struct cache_report no_reply = { .replied = false };

  setup ();
  reply_to_poll (9, 2, false, 100, false);
  last_poll.reply_received (last_poll.data, &no_reply);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  clock_fake_advance (&fake_clock, NS_PER_S);
  kvstores_tick (&kvstores);
  CU_ASSERT_EQUAL (last_poll.since, 0);
  finish ();
}

static void
test_gap_requires_a_list (void)
{
  setup ();
  reply_to_poll (9, 2, false, 100, false);
  reply_to_poll (9, 90, true, 0, false);
  CU_ASSERT_TRUE (last_poll.is_list);
  reply_to_poll (9, 91, false, 100, false);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  CU_ASSERT_FALSE (last_poll.is_list);
  CU_ASSERT_EQUAL (last_poll.since, 91);
  finish ();
}

static void
test_full_store_is_no_save_target (void)
{
  setup ();
  reply_to_poll (9, 2, false, 100, false);
  clock_fake_advance (&fake_clock, 4 * NS_PER_S);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 800, "dc", NULL));
  CU_ASSERT_PTR_NULL (
      kvstores_choose_save_target (&kvstores, 5, 900, "dc", NULL));
  finish ();
}

static void
test_blocks_are_taken_by_version (void)
{
  struct cache_block blocks[4];
  struct kvstore *store;

  setup ();
  reply_to_poll (9, 2, false, 100, false);
  store = kvstores_find_store (&kvstores, "s");
  CU_ASSERT_EQUAL (kvstore_take_blocks (store, "m:2:", blocks, 4), 0);
  CU_ASSERT_EQUAL (kvstore_take_blocks (store, "m:1:", blocks, 4), 1);
  CU_ASSERT_EQUAL (blocks[0].id, test_block.id);
  CU_ASSERT_STRING_EQUAL (blocks[0].scope, "m:1:");
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  CU_ASSERT_EQUAL (store->stored_tokens, 0);
  finish ();
}

static void
test_delay_decays (void)
{
  struct kvstore *store;

  setup ();
  store = kvstores_find_store (&kvstores, "s");
  kvstore_record_delay (store, 400);
  CU_ASSERT_DOUBLE_EQUAL (kvstore_expected_delay_ms (store), 100, 1);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  CU_ASSERT_TRUE (kvstore_expected_delay_ms (store) < 15);
  finish ();
}

/* The last update for other hosts, and whether this host polls for them. */
static struct
{
  bool is_poller;
  unsigned count;
  uint8_t bytes[STOREUPDATE_BYTES_MAX];
  size_t size;
} shared_update;

static bool
host_is_poller (void *data, const struct kvstore *store)
{
  return shared_update.is_poller;
}

static void
update_received (void *data, const struct kvstore_update *update)
{
  shared_update.count++;
  shared_update.size = storeupdate_encode (update, shared_update.bytes);
}

static const struct kvstores_ops sharing_ops
    = { host_is_poller, update_received };

/* Applies an update of another host: change CHANGE_NUMBER, after SINCE, adds
 * or removes the block. */
static void
apply_update (uint64_t epoch, uint64_t since, uint64_t change_number,
              bool removed)
{
  struct cache_block changed = { .id = test_block.id,
                                 .tokens = test_block.tokens,
                                 .removed = removed,
                                 .change_number = change_number };
  struct kvstore_update update
      = { .store = "s",
          .epoch = epoch,
          .since_event_number = since,
          .last_event_number = change_number,
          .blocks = &changed,
          .block_count = 1,
          .sender = 3,
          .sent_ns = clock_boottime (&fake_clock.clock) };

  strcpy (changed.scope, "m:1:");
  kvstores_apply_update (&kvstores, &update);
}

static void
test_poller_shares_updates (void)
{
  setup ();
  memset (&shared_update, 0, sizeof shared_update);
  shared_update.is_poller = true;
  kvstores_set_ops (&kvstores, &sharing_ops, NULL);
  reply_to_poll (9, 2, false, 100, false);
  CU_ASSERT_EQUAL (shared_update.count, 1);
  CU_ASSERT_TRUE (shared_update.size > 0);
  shared_update.is_poller = false;
  clock_fake_advance (&fake_clock, NS_PER_S / 2);
  reply_to_poll (9, 3, false, 0, true);
  CU_ASSERT_EQUAL (shared_update.count, 1);
  finish ();
  /* Another host that is in sync with the store applies the datagram. */
  setup ();
  reply_to_poll (9, 0, false, 0, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  CU_ASSERT_TRUE (
      storeupdate_apply (&kvstores, shared_update.bytes, shared_update.size));
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  CU_ASSERT_FALSE (storeupdate_apply (&kvstores, shared_update.bytes,
                                      shared_update.size - 1));
  finish ();
}

/* A host that has heard nothing of a store for a while fetched from it, though
 * the store may have restarted and be receiving the block again. */
static void
test_unconfirmed_store_holds_nothing (void)
{
  const struct kvstores_settings *settings = &kvstores_settings_default;
  unsigned polls;

  setup ();
  reply_to_poll (9, 2, false, 100, false);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  clock_fake_advance (&fake_clock, settings->confirmed_ns);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  polls = last_poll.count;
  kvstores_set_rotation (&kvstores, 295, 0);
  shared_update.is_poller = false;
  kvstores_set_ops (&kvstores, &sharing_ops, NULL);
  reply_to_poll (9, 2, false, 0, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  CU_ASSERT_EQUAL (last_poll.count, polls + 1);
  reply_to_poll (9, 2, false, 0, false);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  CU_ASSERT_TRUE (settings->confirmed_ns + settings->poll_age_max_ns
                  <= settings->restart_grace_ns);
  finish ();
}

/* An update with more changes than fit a datagram was not sent at all. */
static void
test_large_update_is_split (void)
{
  enum
  {
    BLOCKS = 100
  };
  struct cache_block blocks[BLOCKS];
  struct kvstore_update update = { .store = "s",
                                   .epoch = 9,
                                   .since_event_number = 7,
                                   .last_event_number = 7 + BLOCKS,
                                   .blocks = blocks,
                                   .block_count = BLOCKS };
  struct kvstore_update part = update;
  unsigned count = 0;
  uint64_t next = 7;

  memset (blocks, 0, sizeof blocks);
  for (unsigned i = 0; i < BLOCKS; i++)
    {
      strcpy (blocks[i].scope, "m:1:");
      blocks[i].id = i;
      blocks[i].tokens = 100;
      blocks[i].change_number = 8 + i;
    }
  do
    {
      uint8_t bytes[STOREUPDATE_BYTES_MAX];

      storeupdate_split (&update, &part);
      CU_ASSERT_TRUE (storeupdate_encode (&part, bytes) > 0);
      CU_ASSERT_EQUAL (part.since_event_number, next);
      next = part.last_event_number;
      count += part.block_count;
    }
  while (next < update.last_event_number);
  CU_ASSERT_EQUAL (count, BLOCKS);
  update.block_count = 0;
  part = update;
  storeupdate_split (&update, &part);
  CU_ASSERT_EQUAL (part.last_event_number, update.last_event_number);
}

/* An update is applied only if it continues what is known of the store's
 * current epoch. */
static void
test_updates_continue_the_known_state (void)
{
  setup ();
  apply_update (9, 0, 1, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  reply_to_poll (9, 5, false, 0, false);
  apply_update (9, 6, 7, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  apply_update (8, 5, 7, false);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  apply_update (9, 3, 7, false);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  /* Changes that are already known are not applied again. */
  apply_update (9, 3, 6, true);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  apply_update (9, 7, 8, true);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  finish ();
}

/* An update without changes of process 7, sent at SENT_MS by its clock. */
static void
apply_quiet_update (int64_t sent_ms)
{
  struct kvstore_update update = { .store = "s",
                                   .epoch = 9,
                                   .since_event_number = 2,
                                   .last_event_number = 2,
                                   .sender = 7,
                                   .sent_ns = sent_ms * NS_PER_MS };

  kvstores_apply_update (&kvstores, &update);
}

/* An update that the network held back or doubled confirmed the store from its
 * arrival on, so that blocks were fetched after a restart that it preceded. */
static void
test_late_updates_confirm_no_longer (void)
{
  int64_t confirmed_ms;

  setup ();
  confirmed_ms = kvstores_settings_default.confirmed_ns / NS_PER_MS;
  reply_to_poll (9, 2, false, 100, false);
  apply_quiet_update (1000);
  clock_fake_advance (&fake_clock, (confirmed_ms - 250) * NS_PER_MS);
  /* The first update of a process may be late already. */
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  apply_quiet_update (1000 + confirmed_ms - 250);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  clock_fake_advance (&fake_clock, 600 * NS_PER_MS);
  apply_quiet_update (1000 + confirmed_ms - 250);
  apply_quiet_update (1000 + confirmed_ms - 150);
  clock_fake_advance (&fake_clock, (confirmed_ms - 550) * NS_PER_MS);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  clock_fake_advance (&fake_clock, 60 * NS_PER_MS);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  finish ();
}

/* A process with a clock that runs slower or faster by 100 parts in a million
 * for a day is not late, and a late message is noticed after it. */
static void
test_lateness_follows_drift (void)
{
  struct lateness lateness;
  int64_t received_ns = 0;
  int64_t drift_ns = 0;

  lateness_init (&lateness);
  for (int64_t ppm = -100; ppm <= 100; ppm += 200)
    {
      uint64_t sender = (uint64_t)ppm + 1000;

      CU_ASSERT_EQUAL (lateness_record (&lateness, sender, 0, 0), -1);
      for (int64_t i = 1; i <= 86400; i++)
        {
          received_ns = i * NS_PER_S;
          drift_ns = i * ppm * 1000;
          CU_ASSERT_TRUE_FATAL (lateness_record (&lateness, sender,
                                                 received_ns + drift_ns,
                                                 received_ns)
                                < NS_PER_MS);
        }
      CU_ASSERT_TRUE (lateness_record (&lateness, sender,
                                       received_ns + drift_ns,
                                       received_ns + NS_PER_S)
                      > 900 * NS_PER_MS);
    }
  CU_ASSERT_EQUAL (lateness_record (&lateness, 0, 5, 9), -1);
  lateness_finish (&lateness);
}

/* The pollers of many stores were more senders than were kept, so that each
 * update was the first of its sender and confirmed nothing. */
static void
test_many_pollers_are_known (void)
{
  enum
  {
    POLLERS = 300,
    STARTS = 10000
  };
  struct lateness lateness;

  lateness_init (&lateness);
  for (int64_t second = 0; second < 100; second++)
    for (uint64_t sender = 1; sender <= POLLERS; sender++)
      CU_ASSERT_EQUAL (lateness_record (&lateness, sender, second * NS_PER_S,
                                        second * NS_PER_S),
                       second == 0 ? -1 : 0);
  for (uint64_t sender = 1; sender < STARTS; sender++)
    lateness_record (&lateness, POLLERS + sender, 0,
                     (int64_t)sender * NS_PER_S);
  CU_ASSERT_TRUE (g_hash_table_size (lateness.senders) <= 1024);
  lateness_finish (&lateness);
}

/* A store that is too busy to reply to a poll counts as in sync for a limited
 * time. */
static void
test_busy_store (void)
{
  struct cache_report busy = { .busy = true };

  setup ();
  reply_to_poll (9, 2, false, 100, false);
  last_poll.reply_received (last_poll.data, &busy);
  CU_ASSERT_TRUE (block_is_stored ("m:1:"));
  clock_fake_advance (&fake_clock, 5 * NS_PER_S);
  kvstores_tick (&kvstores);
  last_poll.reply_received (last_poll.data, &busy);
  CU_ASSERT_FALSE (block_is_stored ("m:1:"));
  finish ();
}

static const struct unit_case cases[] = {
  { "large-fleet-saves-soon", test_large_fleet_saves_soon },
  { "hosts-of-an-earlier-version", test_hosts_of_an_earlier_version },
  { "late-updates-confirm-no-longer", test_late_updates_confirm_no_longer },
  { "lateness-follows-drift", test_lateness_follows_drift },
  { "many-pollers-are-known", test_many_pollers_are_known },
  { "unconfirmed-store-holds-nothing", test_unconfirmed_store_holds_nothing },
  { "large-update-is-split", test_large_update_is_split },
  { "only-whole-parts-of-the-scope", test_only_whole_blocks_of_the_scope },
  { "restart-of-a-store", test_store_restart },
  { "silent-store-holds-nothing", test_silent_store_holds_nothing },
  { "gap-is-followed-by-a-list", test_gap_requires_a_list },
  { "full-store-takes-nothing", test_full_store_is_no_save_target },
  { "parts-are-taken-out-by-version", test_blocks_are_taken_by_version },
  { "delay-fades", test_delay_decays },
  { "listener-tells-others", test_poller_shares_updates },
  { "news-follow-on", test_updates_continue_the_known_state },
  { "busy-store", test_busy_store },
};

int
main (void)
{
  return unit_run ("kvstores", cases, G_N_ELEMENTS (cases));
}
