#include "fake-kv.h"
#include "leasedkeys.h"
#include "unit.h"

static struct clock_fake fake_clock;
static struct fake_kv kv;
static struct fake_kv_client client;
static struct leasedkeys keys;

static void
setup (void)
{
  clock_fake_init (&fake_clock, NS_PER_S);
  fake_kv_init (&kv, &fake_clock.clock, 1);
  fake_kv_client_init (&client, &kv);
  leasedkeys_init (&keys, &client.kv, &fake_clock.clock);
}

static void
teardown (void)
{
  leasedkeys_finish (&keys);
  fake_kv_client_finish (&client);
  fake_kv_finish (&kv);
}

static void
run_for (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += 20)
    {
      clock_fake_advance (&fake_clock, 20 * NS_PER_MS);
      fake_kv_step (&kv);
      leasedkeys_tick (&keys);
    }
}

/* What was found out while the KV service was away never reached the other
 * hosts. */
static void
test_written_after_an_outage (void)
{
  setup ();
  leasedkeys_add (&keys, "a", "1");
  run_for (200);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&kv, "a"));
  kv.faults.down = true;
  leasedkeys_add (&keys, "b", "2");
  run_for (5000);
  leasedkeys_add (&keys, "c", "3");
  run_for (1000);
  kv.faults.down = false;
  run_for (2000);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&kv, "b"));
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&kv, "c"));
  teardown ();
}

/* Keys that were written with a lease that had ended were lost. */
static void
test_written_with_a_new_lease (void)
{
  setup ();
  leasedkeys_add (&keys, "a", "1");
  run_for (200);
  fake_kv_lease_expire (&kv, 0);
  leasedkeys_add (&keys, "b", "2");
  run_for (2000);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&kv, "b"));
  teardown ();
}

/* A key that was to be written again in a new era stood twice in one
 * transaction. */
static void
test_pending_key_is_not_added_twice (void)
{
  setup ();
  leasedkeys_add (&keys, "a", "1");
  leasedkeys_add (&keys, "a", "1");
  CU_ASSERT_EQUAL (keys.pending->len, 1);
  leasedkeys_add (&keys, "a", NULL);
  leasedkeys_add (&keys, "a", "1");
  CU_ASSERT_EQUAL (keys.pending->len, 3);
  teardown ();
}

/* A lease of the older era was used, although another process may have its id
 * now. */
static void
test_new_lease_in_a_new_era (void)
{
  uint64_t lease;

  setup ();
  leasedkeys_add (&keys, "a", "1");
  run_for (200);
  lease = keys.lease_id;
  leasedkeys_era_changed (&keys);
  leasedkeys_add (&keys, "b", "1");
  run_for (200);
  CU_ASSERT_NOT_EQUAL (keys.lease_id, lease);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&kv, "b"));
  teardown ();
}

static const struct unit_case cases[] = {
  { "written-after-an-outage", test_written_after_an_outage },
  { "written-with-a-new-lease", test_written_with_a_new_lease },
  { "pending-key-is-not-added-twice", test_pending_key_is_not_added_twice },
  { "new-lease-in-a-new-era", test_new_lease_in_a_new_era },
};

int
main (void)
{
  return unit_run ("leasedkeys", cases, G_N_ELEMENTS (cases));
}
