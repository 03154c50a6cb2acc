#ifndef REACH_H
#define REACH_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Whether this host's links to the servers of a service work. Only a response
 * proves that they do: a connection may open and then be reset, or stay
 * silent. One server that doesn't respond says nothing of the links; several
 * do, if none has responded to what was sent later.
 *
 * The links are in doubt once requests to several servers were not answered.
 * They count as lost once queries, which a sound server answers at once, were
 * not answered either.
 */

enum
{
  /** Number of different servers that have not answered from which on the
   * links are in doubt, or lost; all of them if the service has fewer. */
  REACH_SERVERS_MIN = 3,
  /** Time without any response after which an unanswered request counts. */
  REACH_SILENCE_MS = 500
};

/** Servers that have not answered since the last proof that the links work. */
struct reach_failures
{
  uint32_t servers[REACH_SERVERS_MIN]; /**< Hashes of their ids. */
  int64_t sent_ns[REACH_SERVERS_MIN];  /**< What they were last sent then. */
  unsigned count;
};

struct reach
{
  struct reach_failures requests;
  struct reach_failures queries;
  int64_t answered_ns;     /**< Time of the last response. */
  int64_t next_queries_ns; /**< No query is sent before then. */
  unsigned query_rounds;   /**< Rounds of queries since the last proof. */
  unsigned next_server;    /**< Position of the server that is queried next. */
  /** Numbers of servers of the service that are not leaving, and of those that
   * are reachable, at this generation of the servers. */
  uint64_t counted_generation;
  unsigned registered;
  unsigned reachable;
  uint32_t few[REACH_SERVERS_MIN]; /**< The first of the reachable ones. */
};

/** Record that SERVER has not answered a request that was sent to it at
 * SENT_NS, or that no connection to it was opened. */
void reach_record_unanswered (struct reach *reach, uint32_t server,
                              int64_t sent_ns);

/** Record that SERVER has not answered a query that was sent at SENT_NS. */
void reach_record_query_unanswered (struct reach *reach, uint32_t server,
                                    int64_t sent_ns);

/** Record that a server has responded at NOW_NS to what was sent at SENT_NS.
 * That proves nothing of what was sent later: connections that were open may
 * live on while new ones fail. */
void reach_record_answer (struct reach *reach, int64_t sent_ns,
                          int64_t now_ns);

/** Whether a request that was sent at SENT_NS and has no response at NOW_NS
 * shall be recorded as unanswered. */
bool reach_is_silent (const struct reach *reach, int64_t sent_ns,
                      int64_t now_ns);

/** Whether something was not answered since the last proof. */
bool reach_is_questioned (const struct reach *reach);

/** Whether the links to a service with SERVER_COUNT reachable servers are in
 * doubt; so they are if they are lost. */
bool reach_is_doubted (const struct reach *reach, unsigned server_count);

/** Whether the links are lost. If there are fewer reachable servers than
 * REACH_SERVERS_MIN, a query to each of those listed in REACH was not
 * answered. */
bool reach_is_lost (const struct reach *reach, unsigned server_count);

#endif
