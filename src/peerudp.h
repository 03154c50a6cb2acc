#ifndef PEERUDP_H
#define PEERUDP_H

#include "blameshare.h"
#include "subsets.h"
#include "limitshare.h"
#include "loadshare.h"
#include "storepoll.h"
#include "storeupdate.h"
#include "presence.h"
#include "streamorigin.h"
#include "status.h"

#include <uv.h>

/** @file
 * UDP datagrams between the hosts that presence.h lists. Each host reports its
 * load several times a second, and sends the changes at the KV cache stores
 * that it polls for other hosts. Datagrams of streamorigin.h go to single
 * hosts. All datagrams may be lost.
 */

struct peerudp
{
  struct loadshare *loadshare;
  struct kvstores *kvstores;
  const struct presence *presence;
  const struct subsets *subsets;
  struct streamorigin *origin;
  struct blameshare *blameshare;
  struct limitshare limitshare;
  const struct clock *clock;
  uv_udp_t udp;
  uint64_t process_id; /**< Of this start of the host; not 0. */
  int64_t load_period_ns;
  int64_t next_load_ns;
};

/** Listens at IP and PORT.
 * @param load_period_ns the interval between two load reports */
enum status
peerudp_init (struct peerudp *peerudp, uv_loop_t *loop,
              struct loadshare *loadshare, struct kvstores *kvstores,
              const struct presence *presence, const struct subsets *subsets,
              struct streamorigin *origin, struct blameshare *blameshare,
              const struct clock *clock, const char *ip, uint16_t port,
              int64_t load_period_ns, struct error *error);

/** Stops listening. Has no effect unless peerudp_init was called. */
void peerudp_finish (struct peerudp *peerudp);

/** Sends the load report when it is due. */
void peerudp_tick (struct peerudp *peerudp);

/** Sends UPDATE, in several datagrams if it is large, to the hosts that this
 * one polls the store for. */
void peerudp_send_update (struct peerudp *peerudp,
                          const struct kvstore_update *update);

/** Sends a datagram of streamorigin.h to the host at TO. */
void peerudp_send_origin (struct peerudp *peerudp,
                          const struct sockaddr_in *to, const uint8_t *bytes,
                          size_t size);

/** Sends a datagram of blameshare.h to the other hosts; if there are very
 * many, to those of this host's subset. */
void peerudp_send_blame (struct peerudp *peerudp, const uint8_t *bytes,
                         size_t size);

#endif
