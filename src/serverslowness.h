#ifndef SERVERSLOWNESS_H
#define SERVERSLOWNESS_H

#include "servers.h"

/** @file
 * Applies what is learned of the speed of backend servers, and notices the
 * suspensions of this host, after which earlier figures have an unknown age.
 */

/** Records that SERVER stated SLOWNESS at STATED_NS, in response to what was
 * sent at ASKED_NS.
 * @param here whether it was stated to this host */
void servers_record_slowness (struct servers *servers, struct server *server,
                              double slowness, int64_t asked_ns,
                              int64_t stated_ns, bool here);

/** Notes the time for the speeds of the servers in LIST, which are of one
 * service; see serverspeed_service_note_time. */
void servers_note_time (const GPtrArray *list, int64_t now_ns,
                        int64_t boottime_ns);

/** Records the time to the first event of a request at SERVER; see
 * serverspeed_record_first_event. */
void servers_record_first_event (struct servers *servers,
                                 struct server *server, double measured_ms,
                                 double expected_ms);

/** Removes the servers from servers.stating_slowness of whose slowness other
 * hosts need not be told. */
void servers_drop_stating_slowness (struct servers *servers);

/** Treats all slowness that was stated so far as unknown, since this process
 * has stood still and may read old responses now. */
void servers_forget_slowness (struct servers *servers);

#endif
