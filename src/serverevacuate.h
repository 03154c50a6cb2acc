#ifndef SERVEREVACUATE_H
#define SERVEREVACUATE_H

#include "servers.h"

/** @file
 * What the evacuation of data centres means for the backend servers there.
 */

/** Set which servers are evacuated anew, after an evacuation of DATA_CENTRE
 * began or ended.
 * @return the number of registered servers of DATA_CENTRE */
unsigned servers_apply_evacuation (struct servers *servers,
                                   const char *data_centre);

/** Whether nothing may be sent to any server now, see evacuation_holds_sends.
 */
bool servers_hold_sends (const struct servers *servers);

/** Whether nothing may be sent to SERVER now because of an evacuation. */
bool servers_withhold (const struct servers *servers,
                       const struct server *server);

#endif
