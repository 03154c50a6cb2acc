#ifndef RETIRE_H
#define RETIRE_H

#include "clock.h"
#include "log.h"
#include "presence.h"
#include "servers.h"

/** @file
 * Which weights' cached parts the hosts still fetch from stores. Answers new
 * weights under load: the stores are full of parts of the old ones, and have
 * no room for those that are read anew.
 *
 * Once most of a model's engines have newer weights a host stops fetching
 * parts of the older ones and says so in its entry. When all hosts have said
 * it, these parts can be freed although engines still use the old weights. A
 * host whose lease may have ended counts no more for the others; it fetches
 * no parts of weights that are not the newest it has seen at any engine.
 */

struct retire
{
  const struct clock *clock;
  struct log *log;
  const struct servers *servers;
  struct presence *presence;
  GHashTable *wanted; /**< model to struct wanted_weights; of another owner */
  GHashTable *models; /**< name to struct retire_model */
  int64_t next_ns;
};

void retire_init (struct retire *retire, const struct clock *clock,
                  struct log *log, const struct servers *servers,
                  struct presence *presence, GHashTable *wanted);
void retire_finish (struct retire *retire);

void retire_tick (struct retire *retire);

/** Whether this host may fetch parts made by VERSION of MODEL's weights. */
bool retire_allows (const struct retire *retire, const char *model,
                    uint64_t version);

/** No host fetches parts of MODEL's weights older than this. */
uint64_t retire_fleet (const struct retire *retire, const char *model);

#endif
