#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <glib.h>
#include <h2o.h>
#include <json.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * What the roles of the program "standin" share: the HTTP server on one libuv
 * loop, JSON access, faults, event streams and a small HTTP client.
 *
 * Every role answers these besides its own paths:
 *   POST /control/faults {"NAME": NUMBER or true/false, ...}; 0 switches off
 *   GET /control/stats: the calls by path and the role's counters
 * and has these faults:
 *   outage   1: every call is answered 503
 *   refuse   1: connections are closed at their next request, unanswered
 *   slow_ms  calls wait this long before they take effect
 *   silent   1: connections open at this moment are neither read nor written
 *            any more, for good; 0 changes nothing for them
 */

/** A request as a role sees it; all parts live as long as the request. */
struct call
{
  h2o_req_t *req;
  const char *method;
  const char *path; /**< without the query */
  const char *query;
  struct json_object *body; /**< NULL if the body is no JSON object */
};

/** Which function answers what. */
struct route
{
  const char *method; /**< NULL: any */
  const char *path;   /**< a prefix if it ends with a slash */
  void (*handle) (const struct call *call);
};

/** A number that GET /control/stats shows. */
struct counter
{
  const char *name;
  const int64_t *value;
};

/** Arrays end with an empty element; a role may leave out any but ROUTES. */
struct role
{
  const char *name;
  const char *const *faults; /**< names besides the common ones */
  const GOptionEntry *options;
  const struct counter *counters;
  const struct route *routes; /**< A POST gets here with a JSON object. */
  /** Called once, before the first request. */
  void (*start) (void);
  /** Called before a route: false if it has refused the call itself. */
  bool (*admit) (const struct call *call);
};

extern const struct role role_kv, role_engine, role_store, role_weights,
    role_hosts, role_service;

/** Serve ROLE on ADDRESS and PORT (0: a free one) until the process ends.
 * @return an exit status. */
int server_run (const struct role *role, const char *address, int port);

/** Monotonic time in ns. */
int64_t server_now (void);

typedef void (*server_callback) (void *data);

/** Call CALLBACK once in about MS milliseconds. */
void server_after (uint64_t ms, server_callback callback, void *data);

/** Call CALLBACK every MS milliseconds. */
void server_every (uint64_t ms, server_callback callback, void *data);

/** The value of a fault; 0 if it is off. */
int64_t fault_value (const char *name);

/** Count a fault that holds for the next N cases down by one.
 * @return whether it holds for this case. */
bool fault_take (const char *name);

const char *json_string (struct json_object *object, const char *key,
                         const char *otherwise);
int64_t json_int (struct json_object *object, const char *key,
                  int64_t otherwise);
/** The array KEY, or NULL. */
struct json_object *json_array (struct json_object *object, const char *key);
/** Add to OBJECT, or to a new one if it is NULL, groups of three up to a NULL
 * key: key, type, value. Types: 's' string, 'i' int64_t, 'b' int as boolean,
 * 'o' JSON value, which is taken over. @return the object. */
struct json_object *json_put (struct json_object *object, ...);

int64_t call_query_int (const struct call *call, const char *key,
                        int64_t otherwise);
/** A request header, or NULL. */
const char *call_header (const struct call *call, const char *name);

void http_header (h2o_req_t *req, const char *name, const char *value);
/** Set what the answer begins with. */
void http_status (h2o_req_t *req, int status, const char *type);
/** Whether the connection is one of those that fell silent. */
bool http_is_silent (const h2o_req_t *req);
/** Answer with a copy of BODY. */
void http_reply (h2o_req_t *req, int status, const char *type,
                 const void *body, size_t size);
/** Answer with OBJECT, which is used up. */
void http_json (h2o_req_t *req, int status, struct json_object *object);
/** Answer with an empty object. */
void http_ok (h2o_req_t *req);
/** Answer with {"code": CODE}. */
void http_code (h2o_req_t *req, int status, const char *code);
/** Close the connection without an answer. */
void http_drop (h2o_req_t *req);

/** An answer that is written piece by piece. It belongs to its request;
 * GONE is called once, when the request is done or its connection lost, and
 * after it the stream must not be used. */
struct stream
{
  h2o_generator_t generator;
  h2o_req_t *req;
  GString *pending;
  GString *flying; /**< being written */
  bool busy;
  bool ended;
  void (*ready) (struct stream *stream); /**< PENDING has been written */
  void (*gone) (struct stream *stream);
  void *data;
};

struct stream *stream_start (h2o_req_t *req, const char *type,
                             void (*ready) (struct stream *),
                             void (*gone) (struct stream *), void *data);
/** Write what was added to PENDING, now or when the last write is done. */
void stream_flush (struct stream *stream);
/** End the answer after what is pending. */
void stream_end (struct stream *stream);
/** Close the connection in the middle of the answer. */
void stream_cut (struct stream *stream);

/** The answer to a fetch; STATUS is 0 if there was none. */
struct fetch_reply
{
  int status;
  char checksum[32]; /**< X-Checksum */
  const uint8_t *body;
  size_t size;
};

typedef void (*fetch_done) (void *data, const struct fetch_reply *reply);

/** Ask URL (`http://IP:PORT/PATH`); DONE is called once, later. */
void fetch (const char *method, const char *url, const void *body, size_t size,
            fetch_done done, void *data);

#endif
