#ifndef SOFTWARESPAN_H
#define SOFTWARESPAN_H

#include "clock.h"

#include <glib.h>
#include <stdint.h>

/** @file
 * Since when all servers of a service have had the same software, as far as
 * this process has seen. Software and services are named by their hashes, see
 * struct server.
 */

struct softwarespan
{
  const struct clock *clock;
  GHashTable *services; /**< Maps service hashes to struct span. */
};

void softwarespan_init (struct softwarespan *span, const struct clock *clock);
void softwarespan_finish (struct softwarespan *span);

/** Record that the servers of SERVICE now all have SOFTWARE.
 * @param software 0 if there are several or none */
void softwarespan_set (struct softwarespan *span, uint64_t service,
                       uint64_t software);

/** Return the software of SERVICE if all its servers have had it for
 * DURATION_NS or longer, or 0. */
uint64_t softwarespan_only (const struct softwarespan *span, uint64_t service,
                            int64_t duration_ns);

#endif
