#ifndef FAKE_CONFIGFLEET_H
#define FAKE_CONFIGFLEET_H

#include "confapply.h"
#include "fake-kv.h"

/** @file
 * Some processes that keep a configuration over one fake KV service; the
 * first two watch it. Checks on the way that no process goes back and that a
 * revision is the same everywhere.
 */

enum
{
  CONFIGFLEET_NODES = 4,
  CONFIGFLEET_HISTORY = 5
};

struct configfleet;

/* One process. */
struct configfleet_node
{
  struct configfleet *fleet;
  struct fake_kv_client client;
  struct configstore store;
  struct confapply apply;
  struct rng rng;
  uint64_t seen; /* the highest revision that was in force */
};

struct configfleet
{
  struct clock_fake clock;
  struct fake_kv kv;
  struct configfleet_node nodes[CONFIGFLEET_NODES];
  GHashTable *digests; /* revision to the digest of its configuration */
};

/* What an apply ended with. */
struct configfleet_outcome
{
  bool ended;
  enum status status;
  uint64_t revision;
  guint changes;
  guint refusals;
  unsigned tries;
  char name[DECLARATION_NAME_MAX];
};

/** Note the result in the struct configfleet_outcome at DATA. */
void configfleet_applied (void *data, const struct confapply_result *result);

void configfleet_init (struct configfleet *fleet, uint64_t seed);
void configfleet_finish (struct configfleet *fleet);

/** Run for SPAN_NS, from event to event. */
void configfleet_run (struct configfleet *fleet, int64_t span_ns);

/** NODE's process is replaced by a fresh one. */
void configfleet_restart (struct configfleet_node *node);

#endif
