#include "event.h"

#include <assert.h>
#include <stddef.h>

static const struct event_info event_table[] = {
  /* Process: 100 */
  { EVENT_START, EVENT_LEVEL_INFO, "start",
    "The process has read its settings and accepts connections." },
  { EVENT_STOP, EVENT_LEVEL_INFO, "stop",
    "The process stops; the reason or the stage of the stop is given." },
  { EVENT_SETTINGS_REFUSED, EVENT_LEVEL_ERROR, "settings_refused",
    "The settings file breaks a rule; correct the named line. A running "
    "process keeps its settings." },

  /* Gateway, request path: 200 */
  { EVENT_ROUTE, EVENT_LEVEL_INFO, "route",
    "A backend server was chosen for a request: request, organisation, "
    "backend server, reason." },
  { EVENT_REQUEST_END, EVENT_LEVEL_INFO, "request_end",
    "A request got its final response: outcome and code." },
  { EVENT_ATTEMPT_FAILED, EVENT_LEVEL_INFO, "attempt_failed",
    "An attempt on a backend server ended without a complete response." },
  { EVENT_BACKEND_SERVER, EVENT_LEVEL_WARN, "backend_server",
    "A backend server gets no new work, or gets it again; field sign names "
    "the evidence." },

  /* Placement, block index, stores: 300 */
  { EVENT_PLACE, EVENT_LEVEL_INFO, "place",
    "The expected costs of running a request on several backend servers were "
    "compared: candidates, costs, choice, reason." },
  { EVENT_EXPORT, EVENT_LEVEL_INFO, "export",
    "A decision whether to save a KV cache block of an engine to a store: "
    "block, expected benefit, store, storage tier of the store, whether "
    "another block is evicted." },
  { EVENT_BLOCK_MISMATCH, EVENT_LEVEL_WARN, "block_mismatch",
    "A stored block had another length, checksum or generation; it counts as "
    "a cache miss and is freed. If one store causes many of these, check that "
    "store." },
  { EVENT_CACHE_GAP, EVENT_LEVEL_INFO, "cache_gap",
    "Some cache events of an engine were missed; the list of all its cached "
    "blocks is requested again." },
  { EVENT_PLACE_NONE, EVENT_LEVEL_INFO, "place_none",
    "No engine could be chosen for a request: attempts so far, whether it "
    "must run alone, and how many engines of its service are listed, may get "
    "requests, report the wanted weights, and were excluded." },

  /* Admission, retry, poison requests: 400 */
  { EVENT_ADMIT_REFUSED, EVENT_LEVEL_INFO, "admit_refused",
    "A request was refused before it was queued or run: organisation, kind, "
    "code." },
  { EVENT_RETRY, EVENT_LEVEL_INFO, "retry",
    "An attempt to run a request failed: outcome of the attempt, next action, "
    "reason, delay." },
  { EVENT_SUSPECT_REFUSED, EVENT_LEVEL_WARN, "suspect_refused",
    "A request that crashed backend servers was not run; check that "
    "request." },
  { EVENT_SUSPECT_CRASH, EVENT_LEVEL_WARN, "suspect_crash",
    "A backend server crashed while it executed this request." },
  { EVENT_CONNECTION_CONDEMNED, EVENT_LEVEL_INFO, "connection_condemned",
    "A connection became silent and is not used again." },
  { EVENT_BACKEND_OUT, EVENT_LEVEL_INFO, "backend_out",
    "A backend server gets no new work; the evidence that it failed is "
    "given." },
  { EVENT_BACKEND_BACK, EVENT_LEVEL_INFO, "backend_back",
    "A backend server answered a probe and gets work again." },

  /* At-most-once execution, partition ownership, KV service: 500 */
  { EVENT_KV_DOWN, EVENT_LEVEL_WARN, "kv_down",
    "The KV service does not reply; the process continues with the data that "
    "it has." },

  /* Configuration, sheets: 600 */
  { EVENT_CONFIG_APPLIED, EVENT_LEVEL_INFO, "config_applied",
    "A newer configuration revision is in force in this process." },
  { EVENT_CONFIG_KV_DOWN, EVENT_LEVEL_WARN, "config_kv_down",
    "The configuration can't be read from the KV service; the present one "
    "stays in force." },
  { EVENT_CONFIG_CORRUPT, EVENT_LEVEL_ERROR, "config_corrupt",
    "The stored configuration breaks a rule; the present one stays in "
    "force." },
  { EVENT_SHEET_APPLIED, EVENT_LEVEL_INFO, "sheet_applied",
    "The apply of a sheet has ended: status, revision, digest, operator, "
    "attempts." },

  /* Membership, peer connections: 700 */
  { EVENT_MEMBER_STATE, EVENT_LEVEL_INFO, "member_state",
    "The state of a process in the membership changed: alive, suspect, dead, "
    "left." },
  { EVENT_PEER_SILENT, EVENT_LEVEL_WARN, "peer_silent",
    "A connection between two trefoilspar processes was silent for too long "
    "and was closed." },
  { EVENT_PEER_GARBLED, EVENT_LEVEL_WARN, "peer_garbled",
    "A connection between two trefoilspar processes was closed because a "
    "frame could not be decoded." },

  /* Orders to engines: 800 */
  { EVENT_ORDER_SENT, EVENT_LEVEL_INFO, "order_sent",
    "An order was sent to an engine with the given fencing token." },
  { EVENT_ORDER_DONE, EVENT_LEVEL_INFO, "order_done",
    "A report of an engine shows that an order to it took effect." },
  { EVENT_ORDER_REFUSED, EVENT_LEVEL_WARN, "order_refused",
    "An engine has seen a higher fencing token; another process issues its "
    "orders now. If this continues, look for a second fleet." },
  { EVENT_ORDER_WAITING, EVENT_LEVEL_INFO, "order_waiting",
    "An order to an engine has to wait; the reason is given." },
  { EVENT_ORDER_GIVEN_UP, EVENT_LEVEL_WARN, "order_given_up",
    "An order to an engine took no effect in time and is retried later; check "
    "the engine and the weight store." },

  /* Entry processes: 900 */
  { EVENT_FORWARD_PLACE, EVENT_LEVEL_INFO, "forward_place",
    "A backend server was chosen: candidates, expected times in ms, tokens "
    "assumed to be cached, weights that it is believed to have, that are "
    "wanted (and for how long) and required, revision of its entry, age of "
    "its "
    "load report; for a stream that is resumed, the request and the software "
    "that began it." },
  { EVENT_FORWARD_ATTEMPT, EVENT_LEVEL_WARN, "forward_attempt",
    "An attempt on a backend server gave no response to forward; its outcome "
    "and the next action are given, whether the retry budget denied a retry, "
    "how the response was framed, its whole events, the bytes of an "
    "incomplete one, and what made its bytes unusable (fault)." },
  { EVENT_FORWARD_END, EVENT_LEVEL_INFO, "forward_end",
    "A request got its whole response: status, server, framing, time to the "
    "first event, total time, version of the configuration that routed "
    "it." },
  { EVENT_FORWARD_FAILED, EVENT_LEVEL_WARN, "forward_failed",
    "A request ended without a successful and whole response of a server; "
    "fields as in forward_end, whether a run was in progress (running), the "
    "time since its server sent something (silent_ms), the time that the "
    "caller had left, and the time since this host was told to stop (-1: it "
    "was not)." },
  { EVENT_FORWARD_REFUSED, EVENT_LEVEL_WARN, "forward_refused",
    "A request was refused before it was routed: it is malformed, or no "
    "configuration is known yet." },
  { EVENT_CALLER_REFUSED, EVENT_LEVEL_WARN, "caller_refused",
    "A connection was refused before its request was complete: over a size or "
    "time limit, or not HTTP." },
  { EVENT_FORWARD_STANDBY, EVENT_LEVEL_INFO, "forward_standby",
    "The server of a request has sent nothing for too long. A second attempt "
    "was started beside it, or the request stays there for the given reason "
    "(kept); the second attempt took the request (promoted) or was ended "
    "(cancelled)." },
  { EVENT_RESPONSE_UNSENT, EVENT_LEVEL_WARN, "response_unsent",
    "This host closed the connection of a caller although bytes of a complete "
    "response were not sent (unsent), or sent and not acknowledged; the "
    "reason of the close, and the time since this host was told to stop." },
  { EVENT_FORWARD_ORIGIN, EVENT_LEVEL_INFO, "forward_origin",
    "A caller came back for a stream; known_by is how the software that began "
    "it was found (own_record, other_record, only_software, none), then the "
    "hosts that were asked, their replies and the time in ms." },
  { EVENT_FORWARD_CRASH, EVENT_LEVEL_WARN, "forward_crash",
    "The connection of a request was lost before its response was complete, "
    "which may mean that the server crashed: the fingerprint of the request "
    "and how many servers crashed on it, the age of the response in ms (-1 if "
    "it had not begun), its events and the ids of the prompt's blocks." },
  { EVENT_PART_BLAMED, EVENT_LEVEL_WARN, "part_blamed",
    "A prompt block or whole request that crashes servers is blocked, or "
    "blocked for longer after a try: how this host knows (found, told by "
    "another host, stored in the KV service), the crashes that it explains, "
    "the completed runs with it, the length of the block. Check what sends "
    "it." },
  { EVENT_PART_RELEASED, EVENT_LEVEL_INFO, "part_released",
    "A blocked part is no longer blocked: a run with it was completed, more "
    "were completed than crashed (outweighed), nobody asked for it after its "
    "time (unused), or the table is full (too_many)." },
  { EVENT_SERVER_CHANGED, EVENT_LEVEL_WARN, "server_changed",
    "The known state of a backend server changed: added, leaving, gone, "
    "unreachable, reachable, limited (it states the requests per second that "
    "it takes from all hosts together), unlimited, states_leaving (a response "
    "of it says that it leaves), paused (it turned a request away and wants "
    "nothing from this host for pause_ms), brittle (it falls over once it "
    "rejects more than that many requests within a second), not_brittle, "
    "slow (work takes half as long again as usual there, as it states or as "
    "its first events show, in slowness), not_slow, cold "
    "(it has just started, for all this host knows by what cold names, and "
    "gets cold_share requests within a second from it), warm." },
  { EVENT_ENTRY_IGNORED, EVENT_LEVEL_WARN, "entry_ignored",
    "An entry of the KV service can't be decoded as a server or host and is "
    "ignored; look for another writer." },
  { EVENT_FORWARD_BLOCKED, EVENT_LEVEL_INFO, "forward_blocked",
    "A request has a blocked part: it is refused, or it is the one that is "
    "tried after the time of the block; the crashes that the part explains "
    "and "
    "the age of the block." },
  { EVENT_FORWARD_WAIT, EVENT_LEVEL_INFO, "forward_wait",
    "A stream that goes on with one software only waits for its servers: how "
    "many of them can't be reached (0: one was removed without having left, "
    "and may start again), and the time that is left in ms." },
  { EVENT_FORWARD_OLD_WEIGHTS, EVENT_LEVEL_INFO, "forward_old_weights",
    "A response began on older weights than the operator wants: their "
    "version, the wanted one, the time since the older weights were replaced "
    "and since the request was sent to the engine." },
  { EVENT_FORWARD_HOST, EVENT_LEVEL_INFO, "forward_host",
    "A request is passed on to another host, since this one can't reach the "
    "servers of its service: how many hosts were candidates and what the "
    "chosen one reported (in, unknown)." },
  { EVENT_FORWARD_QUEUE, EVENT_LEVEL_INFO, "forward_queue",
    "A request waits at this host for a service whose capacity varies: its "
    "class, whether it is late, its work, how many wait, the expected wait, "
    "and the time left until its latency target and until its caller gives "
    "up." },
  { EVENT_SERVICE_REACH, EVENT_LEVEL_WARN, "service_reach",
    "This host can use no server of a service any more (out), since they are "
    "unreachable or connections to several failed and none opened, or some "
    "again (in); how many are registered, and how many other hosts report "
    "that they "
    "reach the service, that they do not, or nothing." },
  { EVENT_STATEMENT_IGNORED, EVENT_LEVEL_WARN, "statement_ignored",
    "A backend server stated something of itself in a response that can't be "
    "used: it is malformed, repeated, or of another server. Logged once for "
    "each start of the server and field." },
  { EVENT_RESPONSE_PASSED_OVER, EVENT_LEVEL_WARN, "response_passed_over",
    "A backend server wrote a response to another request (owner=another), or "
    "one without a request's id (owner=none), where the response to this "
    "request was expected. Nothing in it was believed; how many came so far, "
    "and the time since the request was sent. Check the server." },
  { EVENT_ROUTES_IN_FORCE, EVENT_LEVEL_WARN, "routes_in_force",
    "A newer configuration routes requests from now on." },
  { EVENT_ROUTES_REFUSED, EVENT_LEVEL_ERROR, "routes_refused",
    "A configuration can't be read or is older; the present one stays in "
    "force." },
  { EVENT_WEIGHTS_WANTED, EVENT_LEVEL_WARN, "weights_wanted",
    "The operator wants a newer version of a model's weights; how this "
    "process learned of it (start, read, change), and how old it counts as." },
  { EVENT_WEIGHTS_HEARD, EVENT_LEVEL_WARN, "weights_heard",
    "A server has newer weights of a model than the operator is known to "
    "want; the operator's keys are read again." },
  { EVENT_STORE_LOST, EVENT_LEVEL_WARN, "store_lost",
    "The KV service does not reply to reads of the keys with the given "
    "prefix; the values read before stay in use." },
  { EVENT_STORE_BACK, EVENT_LEVEL_WARN, "store_back",
    "The KV service replies again to reads of the keys with the given "
    "prefix." },
  { EVENT_HOST_CHANGED, EVENT_LEVEL_INFO, "host_changed",
    "The registration of a host changed: it serves, is leaving, or is no "
    "longer registered." },
  { EVENT_STORE_ERA, EVENT_LEVEL_WARN, "store_era",
    "The KV service states its first or a higher era: it came back from a "
    "backup, without its last writes. The eras, what this process held in the "
    "older one (revisions of its views, lease, fencing token), and what was "
    "restarted." },
  { EVENT_EVACUATION_CHANGED, EVENT_LEVEL_WARN, "evacuation_changed",
    "The evacuation of a data centre began, ended, or its key in the KV "
    "service is missing without having been removed (lost: the evacuation "
    "goes on; write the key again, or wait until it has expired), was found "
    "again, or was lost for too long (expired, which ends it); the revision "
    "and era of the key, how long this host has known it, and the "
    "registered servers there." },
  { EVENT_EVACUATION_HOLD, EVENT_LEVEL_WARN, "evacuation_hold",
    "This host begins or ends to hold all requests, since it may have missed "
    "an evacuation while it was suspended and reads the operator's keys." },
  { EVENT_STORE_CALL_FAILED, EVENT_LEVEL_WARN, "store_call_failed",
    "A call to the KV service got no usable reply: its kind, key and status, "
    "the stage that it had reached (queued, connecting, sent, replying), the "
    "time that it waited to be sent and then for its reply, whether it was a "
    "probe in a backoff, how many calls are queued, and how many watches "
    "count." },
  { EVENT_VIEW_BEHIND, EVENT_LEVEL_WARN, "view_behind",
    "Another host has known a change of the keys with the given prefix for "
    "longer than a watch takes to report it: its revision, the revision that "
    "this host knows, and the age of the last reply. The keys are read." },
  { EVENT_DUTY_TAKEN, EVENT_LEVEL_WARN, "duty_taken",
    "This host became the leader of a duty, with the given fencing token." },
  { EVENT_DUTY_LOST, EVENT_LEVEL_WARN, "duty_lost",
    "This host is no longer the leader of a duty; the reason is given." },
  { EVENT_SWAP_ORDER, EVENT_LEVEL_WARN, "swap_order",
    "An engine was ordered to load a version of a model's weights." },
  { EVENT_SWAP_ANSWER, EVENT_LEVEL_WARN, "swap_answer",
    "An engine replied to an order to load a weight version." },
  { EVENT_SWAP_DONE, EVENT_LEVEL_WARN, "swap_done",
    "An engine has loaded the wanted weight version." },
  { EVENT_CACHE_STORE_CHANGED, EVENT_LEVEL_WARN, "cache_store_changed",
    "A KV cache store restarted or is unreachable; its blocks count as not "
    "stored." },
  { EVENT_CACHE_FREED, EVENT_LEVEL_WARN, "cache_freed",
    "Blocks of weight versions that are no longer wanted were freed at a "
    "store." },
  { EVENT_CACHE_RETIRED, EVENT_LEVEL_WARN, "cache_retired",
    "This host fetches no more blocks of older weight versions, since most "
    "engines have a newer one." },
  { EVENT_DRAINING, EVENT_LEVEL_WARN, "draining",
    "A planned stop has started: this host is no longer listed." },
  { EVENT_SETTINGS_RELOADED, EVENT_LEVEL_WARN, "settings_reloaded",
    "The settings file has changed and was read again; the listen and kv "
    "settings keep their old values until a restart." },
  { EVENT_PAUSED, EVENT_LEVEL_WARN, "paused",
    "The process did not run for the given time: its machine was suspended, "
    "or it got no processor time. The monotonic clock did not count the part "
    "suspended_ms." },
  { EVENT_LOG_DROPPED, EVENT_LEVEL_WARN, "log_dropped",
    "Log lines were dropped since the previous such line: the buffer was "
    "full, or routine lines were sampled." },
};

enum
{
  EVENT_TABLE_SIZE = sizeof event_table / sizeof *event_table
};

static const char *const level_names[] = {
  [EVENT_LEVEL_DEBUG] = "debug",
  [EVENT_LEVEL_INFO] = "info",
  [EVENT_LEVEL_WARN] = "warn",
  [EVENT_LEVEL_ERROR] = "error",
};

const struct event_info *
event_info (enum event event)
{
  for (unsigned i = 0; i < EVENT_TABLE_SIZE; i++)
    if (event_table[i].number == event)
      return &event_table[i];
  assert (!"event without an entry in the table");
  return NULL;
}

const struct event_info *
event_info_at (unsigned index)
{
  return index < EVENT_TABLE_SIZE ? &event_table[index] : NULL;
}

const char *
event_level_name (enum event_level level)
{
  return level_names[level];
}

void
event_print_help (FILE *out)
{
  fputs ("| number | level | name | meaning |\n"
         "| --- | --- | --- | --- |\n",
         out);
  for (unsigned i = 0; i < EVENT_TABLE_SIZE; i++)
    fprintf (out, "| %d | %s | `%s` | %s |\n", (int)event_table[i].number,
             event_level_name (event_table[i].level), event_table[i].name,
             event_table[i].meaning);
}
