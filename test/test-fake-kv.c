#include "fake-kv.h"
#include "unit.h"

#include <string.h>

static struct clock_fake fake_clock;
static struct fake_kv fake;
static struct fake_kv_client client;

struct last_reply
{
  unsigned count;
  enum status status;
  uint64_t revision;
  uint64_t lease;
  uint64_t era;
  size_t items;
};

static void
setup (void)
{
  clock_fake_init (&fake_clock, NS_PER_S);
  fake_kv_init (&fake, &fake_clock.clock, 1);
  fake_kv_client_init (&client, &fake);
}

static void
reply_received (void *data, const struct kv_reply *reply)
{
  struct last_reply *last_reply = data;

  last_reply->count++;
  last_reply->status = reply->status;
  last_reply->revision = reply->revision;
  last_reply->lease = reply->lease;
  last_reply->era = reply->era;
  last_reply->items = reply->item_count;
}

static void
advance (int64_t ns)
{
  clock_fake_advance (&fake_clock, ns);
  fake_kv_step (&fake);
}

static enum status
put_if_revision (const char *key, uint64_t revision, const char *value,
                 uint64_t lease)
{
  struct kv_compare compare = { key, revision };
  struct kv_write write = { key, value, lease };
  struct kv_txn txn = { &compare, 1, &write, 1 };
  struct last_reply last_reply = { 0 };

  client.kv.ops->txn (&client.kv, &txn, reply_received, &last_reply);
  CU_ASSERT_EQUAL (last_reply.count, 0);
  advance (2 * NS_PER_MS);
  CU_ASSERT_EQUAL (last_reply.count, 1);
  return last_reply.status;
}

static void
test_compare_and_swap (void)
{
  setup ();
  CU_ASSERT_EQUAL (put_if_revision ("a", 0, "1", 0), STATUS_OK);
  CU_ASSERT_EQUAL (put_if_revision ("a", 0, "2", 0), STATUS_CONFLICT);
  CU_ASSERT_EQUAL (
      put_if_revision ("a", fake_kv_key_revision (&fake, "a"), "2", 0),
      STATUS_OK);
  CU_ASSERT_STRING_EQUAL (fake_kv_key_value (&fake, "a"), "2");
  fake.faults.value_max_bytes = 3;
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "long", 0), STATUS_TOO_LARGE);
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "x", 99), STATUS_CONFLICT);
  fake_kv_finish (&fake);
}

static void
test_lost_replies_and_outage (void)
{
  setup ();
  fake.faults.txns_lost_after_effect = 1;
  CU_ASSERT_EQUAL (put_if_revision ("a", 0, "1", 0), STATUS_UNKNOWN);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, "a"));
  fake.faults.txns_lost_before_effect = 1;
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "1", 0), STATUS_UNKNOWN);
  CU_ASSERT_PTR_NULL (fake_kv_key_value (&fake, "b"));
  fake.faults.down = true;
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "1", 0), STATUS_UNAVAILABLE);
  fake.faults.down = false;
  fake.faults.calls_per_s_max = 10;
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "1", 0), STATUS_OK);
  CU_ASSERT_EQUAL (put_if_revision ("c", 0, "1", 0), STATUS_LIMITED);
  CU_ASSERT_EQUAL (fake.call_counts[FAKE_KV_TXN], 5);
  fake_kv_finish (&fake);
}

static void
test_expired_lease_deletes_its_keys (void)
{
  struct last_reply last_reply = { 0 };
  uint64_t lease;

  setup ();
  client.kv.ops->lease_grant (&client.kv, NS_PER_S, reply_received,
                              &last_reply);
  advance (2 * NS_PER_MS);
  lease = last_reply.lease;
  CU_ASSERT_EQUAL (put_if_revision ("a", 0, "1", lease), STATUS_OK);
  advance (900 * NS_PER_MS);
  client.kv.ops->lease_keepalive (&client.kv, lease, reply_received,
                                  &last_reply);
  advance (900 * NS_PER_MS);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, "a"));
  advance (200 * NS_PER_MS);
  CU_ASSERT_PTR_NULL (fake_kv_key_value (&fake, "a"));
  client.kv.ops->lease_keepalive (&client.kv, lease, reply_received,
                                  &last_reply);
  advance (2 * NS_PER_MS);
  CU_ASSERT_EQUAL (last_reply.status, STATUS_NOT_FOUND);
  fake_kv_finish (&fake);
}

static void
test_watch (void)
{
  struct last_reply last_reply = { 0 };

  setup ();
  client.kv.ops->watch (&client.kv, "w/", 0, NS_PER_S, reply_received,
                        &last_reply);
  CU_ASSERT_EQUAL (put_if_revision ("v", 0, "1", 0), STATUS_OK);
  CU_ASSERT_EQUAL (last_reply.count, 0);
  CU_ASSERT_EQUAL (fake.pending_watch_count, 1);
  CU_ASSERT_EQUAL (put_if_revision ("w/a", 0, "1", 0), STATUS_OK);
  CU_ASSERT_EQUAL (last_reply.count, 1);
  CU_ASSERT_EQUAL (last_reply.items, 1);
  client.kv.ops->watch (&client.kv, "w/", last_reply.revision, NS_PER_S,
                        reply_received, &last_reply);
  advance (NS_PER_S);
  advance (2 * NS_PER_MS);
  CU_ASSERT_EQUAL (last_reply.count, 2);
  CU_ASSERT_EQUAL (last_reply.items, 0);
  CU_ASSERT_EQUAL (fake.pending_watch_count, 0);
  fake_kv_finish (&fake);
}

static void
test_paused_and_killed (void)
{
  struct last_reply last_reply = { 0 };

  setup ();
  client.paused = true;
  client.kv.ops->get (&client.kv, "a", reply_received, &last_reply);
  advance (NS_PER_S);
  CU_ASSERT_EQUAL (last_reply.count, 0);
  client.paused = false;
  advance (0);
  CU_ASSERT_EQUAL (last_reply.count, 1);
  client.kv.ops->get (&client.kv, "a", reply_received, &last_reply);
  fake_kv_client_kill (&client);
  advance (NS_PER_S);
  CU_ASSERT_EQUAL (last_reply.count, 1);
  client.kv.ops->range (&client.kv, "a", reply_received, &last_reply);
  fake_kv_client_finish (&client);
  CU_ASSERT_EQUAL (last_reply.status, STATUS_CANCELLED);
  fake_kv_finish (&fake);
}

/* A drill that kept what was written after the backup proves nothing. */
static void
test_back_from_a_backup (void)
{
  struct last_reply last_reply = { 0 };
  uint64_t revision;

  setup ();
  fake.era = 4;
  CU_ASSERT_EQUAL (put_if_revision ("a", 0, "1", 0), STATUS_OK);
  revision = fake.revision;
  fake_kv_back_up (&fake);
  CU_ASSERT_EQUAL (put_if_revision ("a", revision, "2", 0), STATUS_OK);
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "1", 0), STATUS_OK);
  client.kv.ops->lease_grant (&client.kv, NS_PER_S, reply_received,
                              &last_reply);
  advance (2 * NS_PER_MS);
  fake_kv_restore (&fake);
  CU_ASSERT_STRING_EQUAL (fake_kv_key_value (&fake, "a"), "1");
  CU_ASSERT_PTR_NULL (fake_kv_key_value (&fake, "b"));
  CU_ASSERT_EQUAL (put_if_revision ("c", 0, "1", last_reply.lease),
                   STATUS_CONFLICT);
  client.kv.ops->watch (&client.kv, "", revision + 1, NS_PER_S, reply_received,
                        &last_reply);
  advance (NS_PER_S + 2 * NS_PER_MS);
  CU_ASSERT_EQUAL (last_reply.status, STATUS_STALE);
  CU_ASSERT_EQUAL (last_reply.era, 5);
  CU_ASSERT_EQUAL (put_if_revision ("b", 0, "3", 0), STATUS_OK);
  CU_ASSERT_EQUAL (fake_kv_key_revision (&fake, "b"), revision + 1);
  fake_kv_client_finish (&client);
  fake_kv_finish (&fake);
}

static const struct unit_case cases[] = {
  { "compare-and-swap", test_compare_and_swap },
  { "lost-replies-and-outage", test_lost_replies_and_outage },
  { "lease-takes-its-keys", test_expired_lease_deletes_its_keys },
  { "watch", test_watch },
  { "paused-and-killed", test_paused_and_killed },
  { "back-from-a-backup", test_back_from_a_backup },
};

int
main (void)
{
  return unit_run ("fake-kv", cases, sizeof cases / sizeof *cases);
}
