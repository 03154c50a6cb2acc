#include "load.h"
#include "rng.h"
#include "unit.h"

enum
{
  ENGINES = 12,
  VERSIONS = 3,
  STEPS = 20000,
  REQUESTS = 200
};

static const struct load_version versions[VERSIONS]
    = { { "m", "1", "" }, { "m", "2", "" }, { "m", "2", "a" } };

/* Reference model of one engine's load record. */
struct reference
{
  bool has_version[VERSIONS];
  bool leaving;
  uint64_t incarnation;
  uint64_t sequence;
  int64_t received_ns;
};

static struct load_report
report_make (uint64_t engine, uint64_t incarnation, uint64_t sequence,
             int64_t queued_tokens, const struct load_version *list,
             size_t count)
{
  return (struct load_report){ .engine_id = engine,
                               .incarnation = incarnation,
                               .sequence = sequence,
                               .queued_tokens = queued_tokens,
                               .prefill_tokens_per_s = 1000,
                               .service = "s",
                               .versions = list,
                               .version_count = count };
}

static void
reference_check (struct load *load, const struct reference *reference,
                 int64_t now)
{
  for (int v = 0; v < VERSIONS; v++)
    {
      const struct load_group *group;
      struct load_group_key key;
      size_t count = 0;

      load_group_key_init (&key, "s", versions[v].model, versions[v].version,
                           versions[v].adapter);
      group = load_find_group (load, &key);
      for (uint64_t e = 0; e < ENGINES; e++)
        {
          const struct reference *expected = &reference[e];
          bool is_usable = expected->has_version[v] && !expected->leaving
                           && now < expected->received_ns
                                        + load->settings.report_timeout_ns;
          uint32_t index;

          count += is_usable;
          CU_ASSERT_EQUAL (is_usable,
                           group != NULL && load_find_engine (load, e, &index)
                               && load_engine_in_group (load, index, group));
        }
      CU_ASSERT_EQUAL (count, group != NULL ? group->members->len : 0);
    }
}

static void
reference_report (struct load *load, struct reference *expected,
                  struct rng *rng, uint64_t engine, int64_t now)
{
  uint64_t incarnation = expected->incarnation + (rng_below (rng, 20) == 0);
  /* Some sequence numbers repeat. */
  uint64_t sequence = expected->sequence + rng_below (rng, 4);
  bool newer = expected->received_ns == 0
               || incarnation > expected->incarnation
               || sequence > expected->sequence;
  struct load_version list[VERSIONS];
  struct load_report report;
  size_t count = 0;
  bool has_version[VERSIONS];

  for (int v = 0; v < VERSIONS; v++)
    if ((has_version[v] = rng_below (rng, 2) == 0))
      list[count++] = versions[v];
  report = report_make (engine, incarnation, sequence, 100, list, count);
  report.leaving = rng_below (rng, 15) == 0;
  CU_ASSERT_EQUAL (load_apply_report (load, &report, now) == STATUS_OK, newer);
  if (!newer)
    return;
  expected->leaving
      = (expected->leaving && incarnation == expected->incarnation)
        || report.leaving;
  expected->incarnation = incarnation;
  expected->sequence = sequence;
  expected->received_ns = now;
  for (int v = 0; v < VERSIONS; v++)
    expected->has_version[v] = has_version[v];
}

static void
test_groups_against_reference (void)
{
  struct reference reference[ENGINES] = { 0 };
  struct clock_fake fake;
  struct load load;
  struct rng rng;

  rng_init (&rng, 51);
  clock_fake_init (&fake, 1);
  load_init (&load, &fake.clock, &load_settings_default);
  for (int step = 0; step < STEPS; step++)
    {
      uint64_t engine = rng_below (&rng, ENGINES);

      clock_fake_advance (&fake, (int64_t)rng_below (&rng, NS_PER_S / 4));
      load_tick (&load);
      if (rng_below (&rng, 10) > 0)
        reference_report (&load, &reference[engine], &rng, engine,
                          fake.now_ns);
      else if (reference[engine].received_ns > 0)
        {
          load_set_leaving (&load, engine, true);
          reference[engine].leaving = true;
        }
      reference_check (&load, reference, fake.now_ns);
    }
  load_finish (&load);
}

static void
test_wait_corrects_stale_report (void)
{
  struct load_report report = report_make (1, 1, 1, 4000, versions, 1);
  struct load_request a = { 0 }, b = { 0 };
  struct clock_fake fake;
  struct load load;

  clock_fake_init (&fake, NS_PER_S);
  load_init (&load, &fake.clock, &load_settings_default);
  load_apply_report (&load, &report, fake.now_ns);
  CU_ASSERT_DOUBLE_EQUAL (load_wait_s (&load, 0, fake.now_ns), 4.0, 1e-9);
  clock_fake_advance (&fake, NS_PER_S);
  load_add_request (&load, &a, 0, 3000);
  CU_ASSERT_DOUBLE_EQUAL (load_wait_s (&load, 0, fake.now_ns), 6.0, 1e-9);
  /* This report is from before the request was sent, so the request's tokens
   * are still added to it. */
  report.sequence = 2;
  report.queued_tokens = 3500;
  load_apply_report (&load, &report, fake.now_ns - NS_PER_S / 2);
  CU_ASSERT_DOUBLE_EQUAL (load_wait_s (&load, 0, fake.now_ns), 6.0, 1e-9);
  clock_fake_advance (&fake, NS_PER_S);
  load_add_request (&load, &b, 0, 1000);
  report.sequence = 3;
  report.queued_tokens = 5000;
  load_apply_report (&load, &report, fake.now_ns);
  CU_ASSERT_DOUBLE_EQUAL (load_wait_s (&load, 0, fake.now_ns), 5.0, 1e-9);
  /* Long after the report, the wait is still at least that for the requests
   * that this process sent. */
  clock_fake_advance (&fake, 60 * NS_PER_S);
  CU_ASSERT_DOUBLE_EQUAL (load_wait_s (&load, 0, fake.now_ns), 4.0, 1e-9);
  load_remove_request (&a);
  load_remove_request (&a);
  CU_ASSERT_DOUBLE_EQUAL (load_wait_s (&load, 0, fake.now_ns), 1.0, 1e-9);
  load_remove_engine (&load, 1);
  load_remove_request (&b);
  CU_ASSERT_FALSE (load_find_engine (&load, 1, &(uint32_t){ 0 }));
  load_finish (&load);
}

static const struct unit_case cases[] = {
  { "groups-against-naive", test_groups_against_reference },
  { "wait-corrects-old-report", test_wait_corrects_stale_report },
};

int
main (void)
{
  return unit_run ("load", cases, sizeof cases / sizeof *cases);
}
