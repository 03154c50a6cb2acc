#ifndef FAKE_HOSTREQUEST_H
#define FAKE_HOSTREQUEST_H

#include "fake-hosts.h"

/** @file
 * Single requests to the hosts of fake-hosts, each of which is waited for.
 */

/** Send a request with TARGET to host INDEX, and wait for its response.
 * @return its status, or 0 if there is none */
int fake_hosts_request (unsigned index, const char *target);

/** The same with another deadline than 1200 ms. */
int fake_hosts_request_within (unsigned index, const char *target,
                               const char *deadline_ms);
/** The same for a caller that comes back for the stream that the request
 * RESUMED_ID began. */
int fake_hosts_return (unsigned index, const char *target,
                       const char *resumed_id);

/** The same for a request that another host passes on to host INDEX, with RUNS
 * as its field of earlier attempts. */
int fake_hosts_pass_on (unsigned index, const char *target, const char *runs);

#endif
