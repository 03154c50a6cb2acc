#ifndef SERVERPROBE_H
#define SERVERPROBE_H

#include "call.h"
#include "httpfields.h"
#include "list.h"
#include "servers.h"

/** @file
 * Probes of backend servers that this host is in doubt of. A probe only opens
 * a connection, so that it neither risks a caller's request nor causes work
 * for the server. While the links to the service are in question themselves, a
 * few servers are sent a query instead, which a sound server answers at once.
 * What its response states of the server is learned.
 */

struct serverprobes_ops
{
  /** Write a request to OUT that SERVER answers at once and that runs
   * nothing. */
  void (*query_encode) (void *data, const struct server *server, GString *out);
  /** Decode the head of the response to a query of SERVER. */
  void (*response_decode) (void *data, const struct server *server, int status,
                           const struct httpfields *head,
                           struct response *response);
};

struct serverprobes
{
  struct servers *servers;
  struct list running; /**< Probes that have not ended. */
  const struct serverprobes_ops *ops;
  void *data;
};

void serverprobes_init (struct serverprobes *probes, struct servers *servers,
                        const struct serverprobes_ops *ops, void *data);
void serverprobes_finish (struct serverprobes *probes);

/** Start the probes that are due and end queries that were not answered. */
void serverprobes_tick (struct serverprobes *probes);

#endif
