#include "fake-engines.h"

#include <stdio.h>

enum
{
  LINK_RATE = 200 * 1000 * 1000, /* bytes per second */
  QUEUE_MAX = 100000,            /* tokens */
  PREFILL_RATE = 20000           /* tokens per second */
};

void
engines_report (struct engines *engines, uint64_t engine,
                int64_t queued_tokens)
{
  static const struct load_version versions[2]
      = { { "m", "1", "" }, { "m", "0", "" } };
  char name[BLOCK_NAME_SIZE];
  struct load_report report = { .engine_id = engine,
                                .name = name,
                                .sequence = ++engines->sequence,
                                .queued_tokens = queued_tokens,
                                .prefill_tokens_per_s = PREFILL_RATE,
                                .service = "s",
                                .versions = versions,
                                .version_count = 2 };

  snprintf (name, sizeof name, "engine-%u", (unsigned)engine);
  load_apply_report (&engines->load, &report, engines->clock.now_ns);
}

void
engines_init (struct engines *engines, uint32_t count, uint64_t seed,
              const struct place_settings *settings, const char *policy)
{
  clock_fake_init (&engines->clock, NS_PER_S);
  rng_init (&engines->rng, seed);
  load_init (&engines->load, &engines->clock.clock, &load_settings_default);
  place_init (&engines->place, &engines->load, &engines->clock.clock,
              &engines->rng, settings, place_policy_find (policy));
  load_group_key_init (&engines->need, "s", "m", "1", NULL);
  engines->sequence = 0;
  engines->count = count;
  for (uint64_t e = 0; e < count; e++)
    engines_report (engines, e, (int64_t)rng_below (&engines->rng, QUEUE_MAX));
  for (uint64_t s = 0; s < ENGINES_STORES; s++)
    place_set_link_budget (&engines->place, s, LINK_RATE, LINK_RATE / 10);
}

void
engines_finish (struct engines *engines)
{
  place_finish (&engines->place);
  load_finish (&engines->load);
}

void
engines_match (struct engines *engines, unsigned pieces,
               struct blockindex_match *match)
{
  struct rng *rng = &engines->rng;

  match->holder_count = (unsigned)rng_below (rng, 4);
  match->block_count = (unsigned)rng_below (rng, pieces + 1);
  match->idle_ns = -1;
  match->read_lease_ns = (int64_t)rng_below (rng, NS_PER_S);
  for (unsigned i = 0; i < match->holder_count; i++)
    match->holders[i] = (struct blockindex_holder){
      /* Distinct: each has its own range of engines. */
      rng_below (rng, engines->count / 4) * 4 + i,
      (uint32_t)rng_below (rng, pieces) + 1, 0.2 + 0.8 * rng_uniform (rng)
    };
  for (unsigned i = 0; i < match->block_count; i++)
    {
      struct blockindex_block *piece = &match->blocks[i];
      uint64_t store = rng_below (rng, ENGINES_STORES);

      piece->copy_count = 0;
      if (rng_below (rng, 8) == 0)
        continue;
      piece->copy_count = 1 + (unsigned)rng_below (rng, 2);
      for (unsigned j = 0; j < piece->copy_count; j++)
        piece->copies[j]
            = (struct blockindex_copy){ (store + j) % ENGINES_STORES,
                                        i,
                                        1,
                                        7,
                                        ENGINES_PIECE_BYTES,
                                        BLOCKCOPY_MEMORY };
    }
}
