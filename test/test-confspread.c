#include "conffetch.h"
#include "textzip.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

struct world
{
  struct clock_fake clock;
  struct rng rng;
  struct conffetch spread;
  uint64_t revision;
  const char *peer;
  const char *asked; /* the last address, or NULL */
  uint64_t since;
  unsigned fetches;
};

static const struct conffetch_settings settings
    = { .first_delay_max_ns = 50 * NS_PER_MS, .retry_delay_max_ns = NS_PER_S };

static uint64_t
revision_of (void *data)
{
  return ((struct world *)data)->revision;
}

static void
on_fetch (void *data, const char *address, uint64_t since)
{
  struct world *world = data;

  world->asked = address;
  world->since = since;
  world->fetches++;
}

static const char *
peer_of (void *data, uint64_t revision)
{
  return ((struct world *)data)->peer;
}

static const struct conffetch_ops ops = { revision_of, on_fetch, peer_of };

static void
start (struct world *world, uint64_t revision)
{
  memset (world, 0, sizeof *world);
  clock_fake_init (&world->clock, NS_PER_S);
  rng_init (&world->rng, 1);
  world->revision = revision;
  conffetch_init (&world->spread, &settings, &world->clock.clock, &world->rng,
                  &ops, world);
}

static void
pass (struct world *world, int64_t span_ns)
{
  clock_fake_advance (&world->clock, span_ns);
  conffetch_tick (&world->spread);
}

/* Old news and repeated news fetch nothing; one fetch at a time. */
static void
test_once (void)
{
  struct world world;

  start (&world, 5);
  conffetch_revision_announced (&world.spread, "a", 5);
  pass (&world, NS_PER_S);
  CU_ASSERT_EQUAL (world.fetches, 0);
  conffetch_revision_announced (&world.spread, "a", 6);
  conffetch_revision_announced (&world.spread, "b", 6);
  pass (&world, NS_PER_S);
  conffetch_revision_announced (&world.spread, "c", 7);
  pass (&world, NS_PER_S);
  CU_ASSERT_EQUAL (world.fetches, 1);
  CU_ASSERT_EQUAL (world.since, 5);
  world.revision = 6;
  conffetch_completed (&world.spread, STATUS_OK);
  pass (&world, NS_PER_S);
  CU_ASSERT_EQUAL (world.fetches, 2);
  CU_ASSERT_STRING_EQUAL (world.asked, "c");
  world.revision = 7;
  conffetch_completed (&world.spread, STATUS_OK);
  pass (&world, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (world.fetches, 2);
  CU_ASSERT_EQUAL (conffetch_next (&world.spread), CLOCK_NEVER);
}

/* After a failure another peer is asked, as long as it takes. */
static void
test_other_peer (void)
{
  static const enum status failures[]
      = { STATUS_UNAVAILABLE, STATUS_UNKNOWN, STATUS_TIMEOUT, STATUS_CORRUPT,
          STATUS_INVALID };
  struct world world;

  start (&world, 0);
  conffetch_revision_announced (&world.spread, "a", 6);
  pass (&world, NS_PER_S);
  for (size_t i = 0; i < G_N_ELEMENTS (failures); i++)
    {
      unsigned fetches = world.fetches;

      conffetch_completed (&world.spread, failures[i]);
      world.peer = NULL;
      pass (&world, 2 * NS_PER_S);
      CU_ASSERT_EQUAL (world.fetches, fetches);
      world.peer = "b";
      pass (&world, 2 * NS_PER_S);
      CU_ASSERT_EQUAL (world.fetches, fetches + 1);
      CU_ASSERT_STRING_EQUAL (world.asked, "b");
    }
}

/* A delta that does not fit is followed by a fetch of everything. */
static void
test_whole (void)
{
  struct world world;

  start (&world, 5);
  world.peer = "b";
  conffetch_revision_announced (&world.spread, "a", 9);
  pass (&world, NS_PER_S);
  conffetch_completed (&world.spread, STATUS_NOT_FOUND);
  pass (&world, 0);
  CU_ASSERT_EQUAL (world.since, 0);
  CU_ASSERT_STRING_EQUAL (world.asked, "a");
  conffetch_completed (&world.spread, STATUS_NOT_FOUND);
  pass (&world, 2 * NS_PER_S);
  CU_ASSERT_EQUAL (world.since, 5);
  CU_ASSERT_STRING_EQUAL (world.asked, "b");
}

static void
test_textzip (void)
{
  GString *text = g_string_new ("");
  uint8_t *bytes;
  char *back;
  size_t size;

  for (int i = 0; i < 1000; i++)
    g_string_append_printf (text, "{\"row\":%d}", i);
  bytes = textzip_compress (text->str, &size);
  back = textzip_decompress (bytes, size, text->len, text->len);
  CU_ASSERT (back != NULL && strcmp (back, text->str) == 0);
  g_free (back);
  CU_ASSERT (size < text->len / 2);
  CU_ASSERT_PTR_NULL (
      textzip_decompress (bytes, size, text->len, text->len - 1));
  CU_ASSERT_PTR_NULL (
      textzip_decompress (bytes, size, text->len - 1, text->len));
  CU_ASSERT_PTR_NULL (
      textzip_decompress (bytes, size, text->len + 1, text->len + 1));
  CU_ASSERT_PTR_NULL (
      textzip_decompress (bytes, size - 1, text->len, text->len));
  bytes[size / 2] ^= 1;
  CU_ASSERT_PTR_NULL (textzip_decompress (bytes, size, text->len, text->len));
  g_free (bytes);
  g_string_free (text, TRUE);
}

static const struct unit_case cases[] = {
  { "once", test_once },
  { "other_peer", test_other_peer },
  { "whole", test_whole },
  { "textzip", test_textzip },
};

int
main (void)
{
  return unit_run ("confspread", cases, G_N_ELEMENTS (cases));
}
