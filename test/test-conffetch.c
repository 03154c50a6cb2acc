#include "conffetch.h"
#include "textzip.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

struct fixture
{
  struct clock_fake clock;
  struct rng rng;
  struct conffetch fetch;
  uint64_t revision;
  const char *peer;
  const char *fetch_address; /* Address of the last fetch, or NULL. */
  uint64_t since;
  unsigned fetches;
};

static const struct conffetch_settings settings
    = { .first_delay_max_ns = 50 * NS_PER_MS, .retry_delay_max_ns = NS_PER_S };

static uint64_t
fixture_revision (void *data)
{
  return ((struct fixture *)data)->revision;
}

static void
fetch_started (void *data, const char *address, uint64_t since)
{
  struct fixture *fixture = data;

  fixture->fetch_address = address;
  fixture->since = since;
  fixture->fetches++;
}

static const char *
fixture_find_peer (void *data, uint64_t revision)
{
  return ((struct fixture *)data)->peer;
}

static const struct conffetch_ops ops
    = { fixture_revision, fetch_started, fixture_find_peer };

static void
fixture_start (struct fixture *fixture, uint64_t revision)
{
  memset (fixture, 0, sizeof *fixture);
  clock_fake_init (&fixture->clock, NS_PER_S);
  rng_init (&fixture->rng, 1);
  fixture->revision = revision;
  conffetch_init (&fixture->fetch, &settings, &fixture->clock.clock,
                  &fixture->rng, &ops, fixture);
}

static void
fixture_advance (struct fixture *fixture, int64_t span_ns)
{
  clock_fake_advance (&fixture->clock, span_ns);
  conffetch_tick (&fixture->fetch);
}

/* Announcements of the revision in force and repeated announcements start no
   fetch, and only one fetch is in flight at a time. */
static void
test_one_fetch_at_a_time (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 5);
  conffetch_revision_announced (&fixture.fetch, "a", 5);
  fixture_advance (&fixture, NS_PER_S);
  CU_ASSERT_EQUAL (fixture.fetches, 0);
  conffetch_revision_announced (&fixture.fetch, "a", 6);
  conffetch_revision_announced (&fixture.fetch, "b", 6);
  fixture_advance (&fixture, NS_PER_S);
  conffetch_revision_announced (&fixture.fetch, "c", 7);
  fixture_advance (&fixture, NS_PER_S);
  CU_ASSERT_EQUAL (fixture.fetches, 1);
  CU_ASSERT_EQUAL (fixture.since, 5);
  fixture.revision = 6;
  conffetch_completed (&fixture.fetch, STATUS_OK);
  fixture_advance (&fixture, NS_PER_S);
  CU_ASSERT_EQUAL (fixture.fetches, 2);
  CU_ASSERT_STRING_EQUAL (fixture.fetch_address, "c");
  fixture.revision = 7;
  conffetch_completed (&fixture.fetch, STATUS_OK);
  fixture_advance (&fixture, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (fixture.fetches, 2);
  CU_ASSERT_EQUAL (conffetch_next_tick_ns (&fixture.fetch), CLOCK_NEVER);
}

/* A failed fetch is retried from another peer, as soon as there is one, until
   a fetch succeeds. */
static void
test_other_peer (void)
{
  static const enum status failures[]
      = { STATUS_UNAVAILABLE, STATUS_UNKNOWN, STATUS_TIMEOUT, STATUS_CORRUPT,
          STATUS_INVALID };
  struct fixture fixture;

  fixture_start (&fixture, 0);
  conffetch_revision_announced (&fixture.fetch, "a", 6);
  fixture_advance (&fixture, NS_PER_S);
  for (size_t i = 0; i < G_N_ELEMENTS (failures); i++)
    {
      unsigned fetches = fixture.fetches;

      conffetch_completed (&fixture.fetch, failures[i]);
      fixture.peer = NULL;
      fixture_advance (&fixture, 2 * NS_PER_S);
      CU_ASSERT_EQUAL (fixture.fetches, fetches);
      fixture.peer = "b";
      fixture_advance (&fixture, 2 * NS_PER_S);
      CU_ASSERT_EQUAL (fixture.fetches, fetches + 1);
      CU_ASSERT_STRING_EQUAL (fixture.fetch_address, "b");
    }
}

/* If the fetched changes do not apply to the revision in force, everything is
   fetched. */
static void
test_full_fetch (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 5);
  fixture.peer = "b";
  conffetch_revision_announced (&fixture.fetch, "a", 9);
  fixture_advance (&fixture, NS_PER_S);
  conffetch_completed (&fixture.fetch, STATUS_NOT_FOUND);
  fixture_advance (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.since, 0);
  CU_ASSERT_STRING_EQUAL (fixture.fetch_address, "a");
  conffetch_completed (&fixture.fetch, STATUS_NOT_FOUND);
  fixture_advance (&fixture, 2 * NS_PER_S);
  CU_ASSERT_EQUAL (fixture.since, 5);
  CU_ASSERT_STRING_EQUAL (fixture.fetch_address, "b");
}

static void
test_textzip (void)
{
  GString *text = g_string_new ("");
  uint8_t *bytes;
  char *decompressed;
  size_t size;

  for (int i = 0; i < 1000; i++)
    g_string_append_printf (text, "{\"row\":%d}", i);
  bytes = textzip_compress (text->str, &size);
  decompressed = textzip_decompress (bytes, size, text->len, text->len);
  CU_ASSERT (decompressed != NULL && strcmp (decompressed, text->str) == 0);
  g_free (decompressed);
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
  { "once", test_one_fetch_at_a_time },
  { "other_peer", test_other_peer },
  { "whole", test_full_fetch },
  { "textzip", test_textzip },
};

int
main (void)
{
  return unit_run ("confspread", cases, G_N_ELEMENTS (cases));
}
