#ifndef LOAD_H
#define LOAD_H

#include "block.h"
#include "clock.h"
#include "list.h"
#include "status.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * What one process knows of its engines' load: the last report of each,
 * corrected by what this process sent since and what began since. Engines
 * that are silent or leaving are in no group and get no new work.
 */

enum
{
  LOAD_VERSIONS_MAX = 16 /**< Versions of one engine; more are ignored. */
};

struct load_settings
{
  int64_t silent_ns;        /**< Without a report for so long: no new work. */
  double default_rate;      /**< Prefill tokens per second if none reported. */
  double running_s_per_run; /**< Seconds that each running answer adds. */
};

extern const struct load_settings load_settings_default;

/** What a request needs an engine to have. All fields are compared. */
struct load_group_key
{
  char service[BLOCK_NAME_MAX];
  char model[BLOCK_NAME_MAX];
  char version[BLOCK_NAME_MAX];
  char adapter[BLOCK_NAME_MAX];
};

/** The engines that have confirmed a version and may get work. */
struct load_group
{
  struct load_group_key key;
  GArray *members; /**< of uint32_t: indexes of engines */
};

struct load_member
{
  struct load_group *group;
  uint32_t position; /**< in the group's members */
};

/** What a placement decision reads comes first, in one cache line. */
struct load_engine
{
  uint64_t id;      /**< of the name; the same in every process */
  int64_t taken_ns; /**< when the report held */
  int64_t queued_tokens;
  int64_t pending_tokens; /**< sent by us, prefill not seen to end */
  int64_t since_tokens;   /**< the part that was sent after taken_ns */
  double rate;            /**< prefill tokens per second */
  uint32_t running;
  uint32_t index;
  bool used;
  bool leaving;
  uint16_t member_count;
  /** Twice the room: new ones join before old ones leave. */
  struct load_member members[LOAD_VERSIONS_MAX * 2];
  int64_t received_ns; /**< when the report came in */
  uint64_t incarnation;
  uint64_t sequence;
  struct list pending; /**< of load_request, oldest first */
  struct list node;    /**< on load.reported, oldest first, if grouped */
  char name[BLOCK_NAME_MAX];
};

struct load
{
  const struct clock *clock;
  struct load_settings settings;
  GPtrArray *engines; /**< of load_engine; an index stays until removal */
  GHashTable *by_id;
  GHashTable *groups;
  struct list reported;
};

/** Part of a request's state: what it adds to its engine's queue. */
struct load_request
{
  struct list node;
  struct load_engine *engine; /**< NULL: not counted */
  int64_t sent_ns;
  int64_t tokens;
};

struct load_version
{
  const char *model;
  const char *version;
  const char *adapter; /**< empty: none */
};

struct load_report
{
  uint64_t engine;
  const char *name; /**< for logs; may be NULL */
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  uint32_t running;
  int64_t queued_tokens;
  double rate; /**< prefill tokens per second; 0: unknown */
  const char *service;
  const struct load_version *versions;
  size_t version_count;
};

void load_init (struct load *load, const struct clock *clock,
                const struct load_settings *settings);
void load_finish (struct load *load);

/** Take in REPORT, which held at TAKEN_NS (the time the question was sent, if
 * nothing better is known).
 * @return STATUS_STALE for one that is older than the last. */
enum status load_take_report (struct load *load,
                              const struct load_report *report,
                              int64_t taken_ns);

/** The host list, a refused connection or the engine itself says that it
 * leaves. Ends with a report of a higher incarnation, or with LEAVING false
 * from the same source. */
void load_set_leaving (struct load *load, uint64_t engine, bool leaving);

/** Forget the engine; its pending requests are let go. */
void load_remove (struct load *load, uint64_t engine);

/** Count REQUEST with TOKENS to prefill as sent to the engine at INDEX. */
void load_sent (struct load *load, struct load_request *request,
                uint32_t index, int64_t tokens);

/** The first token came, or the attempt ended; harmless when repeated. */
void load_started (struct load_request *request);

/** Fill KEY; NULL for ADAPTER means none.
 * @return STATUS_INVALID if a name is too long. */
enum status load_group_key_init (struct load_group_key *key,
                                 const char *service, const char *model,
                                 const char *version, const char *adapter);

/** The engines that may run KEY, or NULL if there is none. */
const struct load_group *load_group (const struct load *load,
                                     const struct load_group_key *key);

/** Whether the engine at INDEX is in GROUP now. */
bool load_in_group (const struct load *load, uint32_t index,
                    const struct load_group *group);

/** The index of an engine in *INDEX; false if it is not known. */
bool load_find (const struct load *load, uint64_t engine, uint32_t *index);

static inline const struct load_engine *
load_engine_at (const struct load *load, uint32_t index)
{
  return g_ptr_array_index (load->engines, index);
}

/** Estimated wait before prefill of a request sent now, in seconds. */
double load_wait_s (const struct load *load, uint32_t index, int64_t now);

/** Take engines that went silent out of their groups. */
void load_tick (struct load *load);

/** When load_tick has something to do next, or CLOCK_NEVER. */
int64_t load_next (const struct load *load);

#endif
