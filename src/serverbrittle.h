#ifndef SERVERBRITTLE_H
#define SERVERBRITTLE_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * What a backend server states of itself while it is brittle: it falls over
 * once it has to reject more requests than it names within a second.
 */

/** What the servers of a service have stated last. A server that starts is
 * taken to be like the others until a response of its own has come. */
struct serverbrittle_service
{
  bool brittle;
  unsigned rejections; /**< Valid if brittle. */
};

struct serverbrittle
{
  bool brittle;
  unsigned rejections; /**< Requests that the server may reject within a
                          second; valid if brittle. */
  int64_t since_ns;    /**< Time at which the server became brittle, or was no
                          longer; 0 if never. */
  int64_t stated_ns;   /**< Time of the last response, here or at another host,
                          that stated it or not; 0 if there was none. */
  int64_t heard_ns;    /**< The same for responses here. */
};

/** Initialise for a server of SERVICE. */
void serverbrittle_init (struct serverbrittle *brittle,
                         const struct serverbrittle_service *service);

/** Record what a response of STATED_NS stated.
 * @param rejections how many requests the server may reject within a second;
 * negative if it is not brittle
 * @param here whether this host received the response
 * @return whether the server became brittle or is no longer brittle */
bool serverbrittle_record (struct serverbrittle *brittle, int64_t rejections,
                           int64_t stated_ns, bool here);

#endif
