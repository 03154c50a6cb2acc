#ifndef FILTERS_H
#define FILTERS_H

#include "request.h"

/** @file
 * The filters of a request, in the order in which they run, and the functions
 * by which other modules report events of the request to them.
 */

/** Find the caller's organisation. Only the bearer key identifies it. */
enum filter_result auth_filter (struct request *request);

/** Read the kind, model or service, deadline and prompt of the request. */
enum filter_result classify_filter (struct request *request);

/** Decide whether the request runs now, waits, or is refused at once. */
enum filter_result admission_filter (struct request *request);

/** Record that the response has started. The time since the start of the run
 * is a sample for later estimates. */
void admission_response_started (struct request *request);

/** Remove REQUEST, which has ended, from the admission queue or from the
 * running requests. */
void admission_request_ended (struct request *request);

/** Refuse the request if it is known to crash backend servers. */
enum filter_result poisonguard_filter (struct request *request);

/** Get a grant from the owner of the idempotency key for a request that may
 * run only once. */
enum filter_result grant_filter (struct request *request);

/** Query the shard that owns the prompt's block chain for the engines and
 * stores that have the blocks cached. */
enum filter_result lookup_filter (struct request *request);

/** Choose a backend server, send the request and relay the response. */
enum filter_result dispatch_filter (struct request *request);

/** Free what dispatch holds for REQUEST. A request that is not complete is
 * cancelled at its backend server. */
void dispatch_close (struct request *request);

/** Update the state of REQUEST if a byte of the current attempt was sent since
 * the last call. */
void dispatch_note_handed_over (struct request *request);

/** Take the action that is due for a dispatched REQUEST: retry or resume it,
 * send a body that waited, or end an attempt that timed out. */
void dispatch_tick (struct request *request, int64_t now);

/** Report to the shard that owns the block chain that REQUEST was sent to its
 * engine, which will cache the prompt's blocks. */
void lookup_report_sent (struct request *request);

/** Report to the shard that owns the block chain how many blocks of REQUEST,
 * which has completed, its engine had cached. */
void lookup_report_used (struct request *request);

#endif
