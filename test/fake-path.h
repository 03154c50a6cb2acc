#ifndef FAKE_PATH_H
#define FAKE_PATH_H

#include "callerconn.h"
#include "fake-kv.h"
#include "fake-upstream.h"
#include "forwarder.h"
#include "serverprobe.h"

/** @file
 * The path of an entry process between loopback sockets: a caller's socket,
 * the real modules, and one or two scripted servers.
 */

#define FAKE_PATH_HOST "one.example"

enum
{
  FAKE_PATH_SERVERS_MAX = 4
};

struct fake_path
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct clock clock;
  int64_t suspended_ns; /**< by which clock_boottime exceeds clock_now */
  struct log log;
  struct metrics metrics;
  struct rng rng;
  struct fake_kv kv;
  struct fake_kv_client client;
  struct servers servers;
  struct serverprobes probes;
  struct poisoncount poison;
  struct blameshare blameshare;
  struct kvstores kvstores;
  struct presence presence;
  struct kvview operator_view;
  struct cacheretire retire;
  struct streamorigin origin;
  struct forwarder forwarder;
  struct callerserver front;
  struct fake_upstream upstreams[FAKE_PATH_SERVERS_MAX];
  unsigned upstream_count;
  int caller;
  GString *answer;
  GString *logged; /**< the events of the log, a line each */
  bool ended;
  bool reset; /**< the caller's connection ended with a reset */
  unsigned refused;
};

extern struct fake_path path;

/** A path to one server with the script FIRST, and to another with SECOND
 * unless that is NULL; the caller is connected. */
void fake_path_setup (const struct fake_upstream_step *first,
                      unsigned first_count,
                      const struct fake_upstream_step *second,
                      unsigned second_count);
void fake_path_finish (void);

/** The server "i-INDEX" is at ADDRESS. */
void fake_path_server_add (unsigned index, const char *address);

/** Add a server "i-INDEX" of SERVICE with the script STEP and a version of its
 * software, where INDEX counts the servers. */
void fake_path_upstream_add (const struct fake_upstream_step *step,
                             const char *service, const char *software);

/** Set the version of the software of the server "i-INDEX". */
void fake_path_set_software (unsigned index, const char *software);

/** The server "i-INDEX" states that it has VERSION of the weights of model
 * "m". */
void fake_path_set_weights (unsigned index, uint64_t version);

/** Connect the caller anew and forget what it was sent. */
void fake_path_caller_reconnect (void);

/** Take what the caller was sent. */
void fake_path_caller_read (void);

/** Run until the answer holds TEXT, the connection ends (TEXT NULL), or too
 * much time has passed. */
bool fake_path_run_until (const char *text);
void fake_path_run_for (int64_t ms);

/** Run until the head of the answer is there. @return its status, or 0 */
int fake_path_answer_status (void);

void fake_path_caller_send (const char *text);
/** A POST with a body, with whole header lines EXTRA. */
void fake_path_request_send (const char *target, const char *extra);

#endif
