#include "clock.h"
#include "list.h"
#include "rendezvous.h"
#include "rng.h"
#include "status.h"
#include "unit.h"

struct item
{
  int value;
  struct list node;
};

static void
test_list_order (void)
{
  struct list head;
  struct item a = { .value = 1 }, b = { .value = 2 };

  list_init (&head);
  list_append (&head, &b.node);
  list_prepend (&head, &a.node);
  CU_ASSERT_EQUAL (LIST_ENTRY (head.next, struct item, node)->value, 1);
  list_remove (&a.node);
  list_remove (&a.node);
  CU_ASSERT_EQUAL (LIST_ENTRY (head.next, struct item, node)->value, 2);
  list_remove (&b.node);
  CU_ASSERT_TRUE (list_empty (&head));
}

static void
test_fake_clock (void)
{
  struct clock_fake fake;

  clock_fake_init (&fake, 5);
  clock_fake_advance (&fake, 1500 * NS_PER_MS);
  CU_ASSERT_EQUAL (clock_now (&fake.clock), 5 + 1500 * NS_PER_MS);
  CU_ASSERT_EQUAL (clock_wall (&fake.clock).tv_nsec, 500 * NS_PER_MS);
}

/* Removing a node moves only the keys that were assigned to it. */
static void
test_rendezvous_minimal_move (void)
{
  uint64_t nodes[5] = { 11, 22, 33, 44, 55 };

  for (uint32_t key = 0; key < 1000; key++)
    {
      int before = rendezvous_pick (nodes, 5, &key, sizeof key);
      int after = rendezvous_pick (nodes, 4, &key, sizeof key);

      if (before != 4)
        CU_ASSERT_EQUAL (before, after);
    }
  CU_ASSERT_EQUAL (rendezvous_pick (nodes, 0, "k", 1), -1);
}

static void
test_rng_repeats (void)
{
  struct rng a, b;

  rng_init (&a, 7);
  rng_init (&b, 7);
  for (int i = 0; i < 100; i++)
    CU_ASSERT_EQUAL (rng_below (&a, 10), rng_below (&b, 10));
  CU_ASSERT_TRUE (rng_uniform (&a) < 1.0);
}

static void
test_error_message (void)
{
  struct error error;

  error_clear (&error);
  CU_ASSERT_EQUAL (error_set (&error, STATUS_STALE, "number %d", 4),
                   STATUS_STALE);
  CU_ASSERT_STRING_EQUAL (error.message, "number 4");
  CU_ASSERT_STRING_EQUAL (status_name (error.status), "stale");
}

static const struct unit_case cases[] = {
  { "list-order", test_list_order },
  { "fake-clock", test_fake_clock },
  { "rendezvous-minimal-move", test_rendezvous_minimal_move },
  { "rng-repeats", test_rng_repeats },
  { "error-message", test_error_message },
};

int
main (void)
{
  return unit_run ("base", cases, sizeof cases / sizeof *cases);
}
