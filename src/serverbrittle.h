#ifndef SERVERBRITTLE_H
#define SERVERBRITTLE_H

#include "roomshare.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * What a backend server states of itself while it is brittle: it falls over
 * once it has to reject more requests than it names within a second.
 *
 * How many requests a brittle server lets wait is not known, so the hosts keep
 * no more in flight there than it runs at once; all else waits at the hosts.
 * They divide this room among them without asking each other, by their
 * positions in a rendezvous order. If it is too small for all hosts, the first
 * ones hold it, and the others pass requests on to these. A host without room
 * hears of the end of it from others; if nobody has told for a while, the
 * hosts ask in turn, with a request.
 */

/** What the servers of a service have stated last. A server that starts is
 * taken to be like the others until a response of its own has come. */
struct serverbrittle_service
{
  int64_t began_ns; /**< Time of the first registration of any of them. */
  bool known;       /**< Whether a response of any of them has come. */
  bool brittle;
  unsigned rejections; /**< Valid if brittle. */
  int64_t moved_ns;    /**< Time of the last change of the hosts that send to
                          one of them, as far as this host knows. */
};

/** Which of the hosts that send to the server this one is. */
struct serverbrittle_position
{
  unsigned host_count; /**< Hosts that send to the server; 0: unknown. */
  unsigned rank;       /**< Position of this host among them, from 0. */
  unsigned servers;    /**< Servers of the service that these hosts send to. */
  unsigned told_count; /**< Hosts that tell each other what the server states,
                          this one included. */
};

struct serverbrittle
{
  struct serverbrittle_service *service;
  int64_t known_ns; /**< Time from which on this host knows the server. */
  bool brittle;
  unsigned rejections; /**< Requests that the server may reject within a
                          second; valid if brittle. */
  int64_t since_ns;    /**< Time at which the server became brittle, or was no
                          longer; 0 if never. */
  int64_t stated_ns;   /**< Time of the last response, here or at another host,
                          that stated it or not; 0 if there was none. */
  int64_t heard_ns;    /**< The same for responses here. */
  int64_t rejected_ns; /**< Time of the last rejection, here or at another
                          host, while the server was brittle; 0 if there was
                          none. */
  int64_t rejected_here_ns; /**< The same for rejections here. */
  int64_t asked_ns; /**< Time of the last request of this host while it had no
                       room; 0 if there was none. */
  struct roomshare share; /**< Part of this host in the server's room. */
  unsigned told_count;    /**< As in struct serverbrittle_position. */
};

/** Initialise for a server of SERVICE, which outlives it and which this host
 * knows from NOW_NS on. */
void serverbrittle_init (struct serverbrittle *brittle,
                         struct serverbrittle_service *service,
                         int64_t now_ns);

/** Set which of the hosts that send to the server this one is, at NOW_NS. */
void serverbrittle_set_position (struct serverbrittle *brittle,
                                 const struct serverbrittle_position *position,
                                 int64_t now_ns);

/** Record what a response of STATED_NS stated.
 * @param rejections how many requests the server may reject within a second;
 * negative if it is not brittle
 * @param here whether this host received the response
 * @return whether the server became brittle or is no longer brittle */
bool serverbrittle_record (struct serverbrittle *brittle, int64_t rejections,
                           int64_t stated_ns, bool here);

/** Record that the server rejected a request at REJECTED_NS; has no effect if
 * it is not brittle.
 * @param here whether it was a request of this host */
void serverbrittle_record_rejection (struct serverbrittle *brittle,
                                     int64_t rejected_ns, bool here);

/** Whether nothing is known yet of the servers of the service, as on a host
 * that has just started and that others may still tell. */
bool serverbrittle_is_unknown (const struct serverbrittle *brittle,
                               int64_t now_ns);

/** Return the time until the last rejection no longer counts; 0 if it does
 * not. */
int64_t serverbrittle_hold_ns (const struct serverbrittle *brittle,
                               int64_t now_ns);

/** Whether this host, which has no room at the server, asks with one request
 * whether it is still brittle. */
bool serverbrittle_may_ask (const struct serverbrittle *brittle,
                            int64_t now_ns);

/** Count that a request is sent to the server. */
void serverbrittle_take (struct serverbrittle *brittle, int64_t now_ns);

/** Return how many of UNITS equal parts of the server's room this host may use
 * at NOW_NS; none before it knows its position. */
unsigned serverbrittle_share (const struct serverbrittle *brittle,
                              unsigned units, int64_t now_ns);

/** Return how many requests all hosts may have in flight at a brittle server
 * that runs SLOTS at once. */
unsigned serverbrittle_room (const struct serverbrittle *brittle,
                             unsigned slots);

/** Return how many hosts, the first in the order, hold room for UNITS
 * requests. */
unsigned serverbrittle_holders (const struct serverbrittle *brittle,
                                unsigned units);

#endif
