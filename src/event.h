#ifndef EVENT_H
#define EVENT_H

#include <stdio.h>

/** @file
 * The numbered log events. The table in event.c holds the name, level and
 * meaning of each; docs/EVENTS.md is checked against it. Each group of modules
 * has a range of a hundred numbers. A number is never reused for another
 * event.
 */

enum event_level
{
  EVENT_LEVEL_DEBUG,
  EVENT_LEVEL_INFO,
  EVENT_LEVEL_WARN,
  EVENT_LEVEL_ERROR
};

enum event
{
  /* Process: 100 */
  EVENT_START = 100,
  EVENT_STOP = 101,
  EVENT_SETTINGS_REFUSED = 102,

  /* Gateway, request path: 200 */
  EVENT_ROUTE = 200,
  EVENT_REQUEST_END = 201,
  EVENT_ATTEMPT_FAILED = 202,
  EVENT_BACKEND_SERVER = 203,

  /* Placement, block index, stores: 300 */
  EVENT_PLACE = 300,
  EVENT_EXPORT = 301,
  EVENT_BLOCK_MISMATCH = 302,
  EVENT_CACHE_GAP = 303,
  EVENT_PLACE_NONE = 304,

  /* Admission, retry, poison requests: 400 */
  EVENT_ADMIT_REFUSED = 400,
  EVENT_RETRY = 401,
  EVENT_SUSPECT_REFUSED = 402,
  EVENT_SUSPECT_CRASH = 403,
  EVENT_CONNECTION_CONDEMNED = 404,
  EVENT_BACKEND_OUT = 405,
  EVENT_BACKEND_BACK = 406,

  /* At-most-once execution, partition ownership, KV service: 500 */
  EVENT_KV_DOWN = 500,

  /* Configuration, sheets: 600 */
  EVENT_CONFIG_APPLIED = 600,
  EVENT_CONFIG_KV_DOWN = 601,
  EVENT_CONFIG_CORRUPT = 602,
  EVENT_SHEET_APPLIED = 603,

  /* Membership, peer connections: 700 */
  EVENT_MEMBER_STATE = 700,
  EVENT_PEER_SILENT = 701,
  EVENT_PEER_GARBLED = 702,

  /* Orders to engines: 800 */
  EVENT_ORDER_SENT = 800,
  EVENT_ORDER_DONE = 801,
  EVENT_ORDER_REFUSED = 802,
  EVENT_ORDER_WAITING = 803,
  EVENT_ORDER_GIVEN_UP = 804,

  /* Entry processes: 900 */
  EVENT_FORWARD_PLACE = 900,
  EVENT_FORWARD_ATTEMPT = 901,
  EVENT_FORWARD_END = 902,
  EVENT_FORWARD_FAILED = 903,
  EVENT_FORWARD_REFUSED = 904,
  EVENT_CALLER_REFUSED = 905,
  EVENT_RESPONSE_UNSENT = 927,
  EVENT_FORWARD_STANDBY = 928,
  EVENT_FORWARD_ORIGIN = 906,
  EVENT_FORWARD_CRASH = 907,
  EVENT_PART_BLAMED = 908,
  EVENT_PART_RELEASED = 909,
  EVENT_SERVER_CHANGED = 910,
  EVENT_ENTRY_IGNORED = 911,
  EVENT_FORWARD_BLOCKED = 912,
  EVENT_FORWARD_WAIT = 913,
  EVENT_FORWARD_OLD_WEIGHTS = 914,
  EVENT_FORWARD_HOST = 915,
  EVENT_SERVICE_REACH = 916,
  EVENT_STATEMENT_IGNORED = 917,
  EVENT_RESPONSE_PASSED_OVER = 918,
  EVENT_ROUTES_IN_FORCE = 920,
  EVENT_ROUTES_REFUSED = 921,
  EVENT_WEIGHTS_WANTED = 922,
  EVENT_FORWARD_QUEUE = 926,
  EVENT_WEIGHTS_HEARD = 923,
  EVENT_STORE_LOST = 930,
  EVENT_STORE_BACK = 931,
  EVENT_HOST_CHANGED = 932,
  EVENT_STORE_ERA = 933,
  EVENT_EVACUATION_CHANGED = 934,
  EVENT_EVACUATION_HOLD = 935,
  EVENT_STORE_CALL_FAILED = 936,
  EVENT_VIEW_BEHIND = 937,
  EVENT_DUTY_TAKEN = 940,
  EVENT_DUTY_LOST = 941,
  EVENT_SWAP_ORDER = 942,
  EVENT_SWAP_ANSWER = 943,
  EVENT_SWAP_DONE = 944,
  EVENT_CACHE_STORE_CHANGED = 945,
  EVENT_CACHE_FREED = 946,
  EVENT_CACHE_RETIRED = 947,
  EVENT_DRAINING = 950,
  EVENT_SETTINGS_RELOADED = 951,
  EVENT_PAUSED = 952,
  EVENT_LOG_DROPPED = 960,
};

struct event_info
{
  enum event number;
  enum event_level level;
  const char *name;
  /** What happened and, if needed, what the operator should do; printed in
   * docs/EVENTS.md. */
  const char *meaning;
};

/** Return the table entry of EVENT. Every event has one. */
const struct event_info *event_info (enum event event);

/** Return the table entry at INDEX, in ascending order of event numbers, or
 * NULL if INDEX is past the end. */
const struct event_info *event_info_at (unsigned index);

const char *event_level_name (enum event_level level);

/** Write the table of events to OUT as Markdown. */
void event_print_help (FILE *out);

#endif
