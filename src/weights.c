#include "weights.h"

#include <glib.h>
#include <string.h>

/* Share of the time until a version is required that is left if the process
 * finds the version at its start. A rollout may still be in progress then. */
static const double found_share = 0.2;

enum
{
  /* Maximum time that is left until such a version is required. */
  FOUND_REQUIRED_MS = 900,
  /* Maximum time for which a request may still begin on older ones. */
  FOUND_BEGIN_MS = 1500
};

/* Merges the two oldest versions into one that has the newer version number
 * and the earlier time. */
static void
oldest_merge (struct wanted_weights *wanted)
{
  int64_t since = wanted->versions[0].since_ns;
  int64_t found = wanted->versions[0].found_ns;

  memmove (&wanted->versions[0], &wanted->versions[1],
           --wanted->version_count * sizeof wanted->versions[0]);
  wanted->versions[0].since_ns = since;
  wanted->versions[0].found_ns = found;
}

void
weights_add_version (struct wanted_weights *wanted, uint64_t version,
                     int64_t since_ns)
{
  if (wanted->version_count == WEIGHTS_VERSIONS_MAX)
    oldest_merge (wanted);
  for (unsigned i = 0; i < wanted->version_count; i++)
    wanted->versions[i].since_ns
        = MIN (wanted->versions[i].since_ns, since_ns);
  wanted->versions[wanted->version_count].version = version;
  wanted->versions[wanted->version_count].found_ns = 0;
  wanted->versions[wanted->version_count++].since_ns = since_ns;
  wanted->version = version;
}

int64_t
weights_found_since_ns (int64_t now_ns, int64_t span_ns)
{
  int64_t left_ns = MIN ((int64_t)(found_share * (double)span_ns),
                         FOUND_REQUIRED_MS * NS_PER_MS);

  return now_ns - span_ns + left_ns;
}

void
weights_set_found (struct wanted_weights *wanted, int64_t now_ns)
{
  wanted->versions[wanted->version_count - 1].found_ns = now_ns;
}

uint64_t
weights_required_version (const struct wanted_weights *wanted, int64_t now_ns,
                          int64_t span_ns)
{
  uint64_t due = 0;

  for (unsigned i = 0; i < wanted->version_count; i++)
    if (now_ns - wanted->versions[i].since_ns > span_ns)
      due = wanted->versions[i].version;
  return due;
}

/* Returns the index of the first version newer than VERSION. */
static unsigned
first_newer (const struct wanted_weights *wanted, uint64_t version)
{
  unsigned i = 0;

  while (i + 1 < wanted->version_count
         && wanted->versions[i].version <= version)
    i++;
  return i;
}

int64_t
weights_begin_left_ns (const struct wanted_weights *wanted, uint64_t version,
                       int64_t now_ns, int64_t span_ns)
{
  unsigned newer = first_newer (wanted, version);
  int64_t until_ns = wanted->versions[newer].since_ns + span_ns;
  int64_t found_ns = wanted->versions[newer].found_ns;

  if (found_ns != 0)
    until_ns = MIN (until_ns, found_ns + FOUND_BEGIN_MS * NS_PER_MS);
  return until_ns - now_ns;
}

int64_t
weights_outdated_since_ns (const struct wanted_weights *wanted,
                           uint64_t version)
{
  return wanted->versions[first_newer (wanted, version)].since_ns;
}
