#ifndef FILTERS_H
#define FILTERS_H

#include "request.h"

/** @file
 * The filters of a request, in the order in which they run.
 */

/** Who calls: the organisation of the bearer key, and of nothing else. */
enum verdict auth_filter (struct request *request);

/** What is asked for: kind, model or service, deadline, prompt. */
enum verdict classify_filter (struct request *request);

/** Whether it runs now, waits, or is refused at once. */
enum verdict admission_filter (struct request *request);

/** The answer has begun: its time counts for later estimates. */
void admission_answered (struct request *request);

/** Give back the place of a request that ends. */
void admission_end (struct request *request);

/** Whether this request crashes backend servers. */
enum verdict guard_filter (struct request *request);

/** For what may run only once: the grant of the owner of its key. */
enum verdict grant_filter (struct request *request);

/** Who has earlier context: asks the shard that owns the prompt's chain. */
enum verdict lookup_filter (struct request *request);

/** Place on a backend server, send, pass the answer on. */
enum verdict dispatch_filter (struct request *request);

/** Let go of what dispatch holds: cancel at the backend server if the
 * request has not come to its end. */
void dispatch_close (struct request *request);

/** Let the request's state know if a byte has left meanwhile. */
void dispatch_note_handed_over (struct request *request);

/** Look at the timers of a request that is dispatched. */
void dispatch_tick (struct request *request, int64_t now);

/** The request goes to its engine, which will have its blocks: tell the shard
 * that owns its chain. */
void lookup_report_sent (struct request *request);

/** The request ended well on its engine: tell the shard what was cached. */
void lookup_report_used (struct request *request);

#endif
