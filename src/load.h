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
 * Load of the engines, as estimated by one process: the last report of each
 * engine, corrected by the requests that this process has sent since and by
 * those that have started since. Engines that are leaving or have not reported
 * for some time are in no group and get no new requests.
 */

enum
{
  LOAD_VERSIONS_MAX = 16 /**< Maximum number of weight versions of one engine;
                            further ones are ignored. */
};

struct load_settings
{
  /** An engine without a report for this time gets no new requests. */
  int64_t report_timeout_ns;
  double default_prefill_tokens_per_s; /**< Prefill speed of an engine that
                                          does not report any. */
  /** Seconds that each running request adds to the wait. */
  double wait_s_per_running_request;
};

extern const struct load_settings load_settings_default;

/** What a request requires of an engine. All fields must match. */
struct load_group_key
{
  char service[BLOCK_NAME_SIZE];
  char model[BLOCK_NAME_SIZE];
  char version[BLOCK_NAME_SIZE];
  char adapter[BLOCK_NAME_SIZE];
};

/** The engines that have reported a weight version and may get requests. */
struct load_group
{
  struct load_group_key key;
  GArray *members; /**< Array of the engines' indexes, as uint32_t. */
};

struct load_membership
{
  struct load_group *group;
  uint32_t position; /**< Index in the array group->members. */
};

/** The fields that placement reads come first, in one cache line. */
struct load_engine
{
  uint64_t
      id; /**< Id derived from the engine's name; the same in every process. */
  int64_t measured_ns; /**< Time at which the reported load was measured. */
  int64_t queued_tokens;
  /** Number of tokens to prefill in the requests that this process sent and
   * that have not produced a token yet. */
  int64_t pending_tokens;
  /** Number of those pending_tokens that were sent after measured_ns, so
   * that the report does not contain them. */
  int64_t unreported_tokens;
  /** Prefill speed that the engine reported, or the default speed. */
  double prefill_tokens_per_s;
  uint32_t running_count;
  uint32_t index;
  bool in_use; /**< Whether an engine has this index; if not, the index is
                  free. */
  bool leaving;
  uint16_t membership_count;
  /** Groups that the engine is in. There can be twice LOAD_VERSIONS_MAX,
   * because an engine joins new groups before it leaves old ones. */
  struct load_membership memberships[LOAD_VERSIONS_MAX * 2];
  int64_t received_ns; /**< Time at which the last report was received. */
  uint64_t incarnation;
  uint64_t sequence;
  struct list pending; /**< List of struct load_request, the oldest first. */
  struct list node; /**< Node in load.reporting_engines while the engine is in
                       a group. */
  char name[BLOCK_NAME_SIZE];
};

struct load
{
  const struct clock *clock;
  struct load_settings settings;
  GPtrArray *engines; /**< Array of struct load_engine. An engine keeps its
                         index until it is removed. */
  GHashTable *by_id;
  GHashTable *groups;
  struct list reporting_engines; /**< Engines in a group, the one with the
                                    oldest report first. */
};

/** The tokens that a request adds to the queue of its engine. It is a part of
 * the request's state. */
struct load_request
{
  struct list node;
  struct load_engine *engine; /**< Engine that the request was sent to;
                                  NULL if the request is not counted. */
  int64_t sent_ns;
  int64_t tokens;
};

struct load_version
{
  const char *model;
  const char *version;
  const char *adapter; /**< Name of the adapter, or "" if there is none. */
};

struct load_report
{
  uint64_t engine_id;
  const char *name; /**< Name of the engine for log lines; may be NULL. */
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  uint32_t running_count;
  int64_t queued_tokens;
  double prefill_tokens_per_s; /**< Prefill speed; 0 if unknown. */
  const char *service;
  const struct load_version *versions;
  size_t version_count;
};

void load_init (struct load *load, const struct clock *clock,
                const struct load_settings *settings);
void load_finish (struct load *load);

/** Apply REPORT. MEASURED_NS is when the load was measured or, if that is not
 * known, when the query was sent.
 * @return STATUS_STALE if REPORT is older than the last one. */
enum status load_apply_report (struct load *load,
                               const struct load_report *report,
                               int64_t measured_ns);

/** Set whether the engine ENGINE_ID is leaving, as shown by the host list, a
 * refused connection or the engine itself. A report with a higher incarnation
 * clears the flag. Otherwise, the source that set it has to clear it. */
void load_set_leaving (struct load *load, uint64_t engine_id, bool leaving);

/** Remove the engine ENGINE_ID. Its pending requests are no longer counted. */
void load_remove_engine (struct load *load, uint64_t engine_id);

/** Count REQUEST with TOKENS to prefill as sent to the engine at INDEX. */
void load_add_request (struct load *load, struct load_request *request,
                       uint32_t index, int64_t tokens);

/** Stop counting REQUEST, as its first token arrived or its attempt ended.
 * Further calls do nothing. */
void load_remove_request (struct load_request *request);

/** Fill KEY. ADAPTER is NULL if there is none.
 * @return STATUS_INVALID if a name is too long. */
enum status load_group_key_init (struct load_group_key *key,
                                 const char *service, const char *model,
                                 const char *version, const char *adapter);

/** The engines that may execute requests for KEY, or NULL if none may. */
const struct load_group *load_find_group (const struct load *load,
                                          const struct load_group_key *key);

/** Whether the engine at INDEX is in GROUP now. */
bool load_engine_in_group (const struct load *load, uint32_t index,
                           const struct load_group *group);

/** Write the index of the engine ENGINE_ID to INDEX.
 * @return false if the engine is unknown. */
bool load_find_engine (const struct load *load, uint64_t engine_id,
                       uint32_t *index);

static inline const struct load_engine *
load_engine_at (const struct load *load, uint32_t index)
{
  return g_ptr_array_index (load->engines, index);
}

/** Estimated wait before prefill of a request sent now, in seconds. */
double load_wait_s (const struct load *load, uint32_t index, int64_t now);

/** Remove the engines without a recent report from their groups. */
void load_tick (struct load *load);

/** Time at which load_tick must be called next, or CLOCK_NEVER. */
int64_t load_next_tick_ns (const struct load *load);

#endif
