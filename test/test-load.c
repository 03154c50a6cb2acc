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

/* The naive twin: a flag for each engine and version. */
struct naive
{
  bool has[VERSIONS];
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
naive_check (struct load *load, const struct naive *naive, int64_t now)
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
          const struct naive *n = &naive[e];
          bool may
              = n->has[v] && !n->leaving
                && now < n->received_ns + load->settings.report_timeout_ns;
          uint32_t index;

          count += may;
          CU_ASSERT_EQUAL (may,
                           group != NULL && load_find_engine (load, e, &index)
                               && load_engine_in_group (load, index, group));
        }
      CU_ASSERT_EQUAL (count, group != NULL ? group->members->len : 0);
    }
}

static void
naive_report (struct load *load, struct naive *n, struct rng *rng,
              uint64_t engine, int64_t now)
{
  uint64_t incarnation = n->incarnation + (rng_below (rng, 20) == 0);
  uint64_t sequence = n->sequence + rng_below (rng, 4); /* some repeat */
  bool newer = n->received_ns == 0 || incarnation > n->incarnation
               || sequence > n->sequence;
  struct load_version list[VERSIONS];
  struct load_report report;
  size_t count = 0;
  bool has[VERSIONS];

  for (int v = 0; v < VERSIONS; v++)
    if ((has[v] = rng_below (rng, 2) == 0))
      list[count++] = versions[v];
  report = report_make (engine, incarnation, sequence, 100, list, count);
  report.leaving = rng_below (rng, 15) == 0;
  CU_ASSERT_EQUAL (load_apply_report (load, &report, now) == STATUS_OK, newer);
  if (!newer)
    return;
  n->leaving = (n->leaving && incarnation == n->incarnation) || report.leaving;
  n->incarnation = incarnation;
  n->sequence = sequence;
  n->received_ns = now;
  for (int v = 0; v < VERSIONS; v++)
    n->has[v] = has[v];
}

static void
test_groups_against_naive (void)
{
  struct naive naive[ENGINES] = { 0 };
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
        naive_report (&load, &naive[engine], &rng, engine, fake.now_ns);
      else if (naive[engine].received_ns > 0)
        {
          load_set_leaving (&load, engine, true);
          naive[engine].leaving = true;
        }
      naive_check (&load, naive, fake.now_ns);
    }
  load_finish (&load);
}

static void
test_wait_corrects_old_report (void)
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
  /* A late report that held before we sent still lacks what we sent. */
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
  /* Long after the report, our own are the least that waits. */
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
  { "groups-against-naive", test_groups_against_naive },
  { "wait-corrects-old-report", test_wait_corrects_old_report },
};

int
main (void)
{
  return unit_run ("load", cases, sizeof cases / sizeof *cases);
}
