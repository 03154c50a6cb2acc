#include "peerudp.h"
#include "address.h"

#include <string.h>
#include <xxhash.h>

/* Type of a datagram, which is its first byte. */
enum datagram_type
{
  DATAGRAM_LOADS = 1,
  DATAGRAM_BLOCKS = 2,
  DATAGRAM_ORIGIN = 3,
  DATAGRAM_BLAME = 4,
  DATAGRAM_LIMITS = 5,
  /* DATAGRAM_BLOCKS that the receiver relays to the hosts of its subset. Hosts
   * of earlier versions ignore it and poll the stores themselves. */
  DATAGRAM_BLOCKS_RELAYED = 6
};

enum
{
  DATAGRAM_BYTES_MAX = 1 + MAX (LOADSHARE_BYTES_MAX, STOREUPDATE_BYTES_MAX),
  /* Maximum number of hosts that all send each other evidence of crashes. With
   * more, the hosts of each subset do. */
  ALL_HOSTS_MAX = LIMITSHARE_HOSTS_MAX
};

static void
buffer_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[DATAGRAM_BYTES_MAX];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

/* Sends a datagram to all other hosts, or, unless ALL_HOSTS is set, only to
 * those of this host's subset. BYTES holds the type of the datagram and SIZE
 * bytes after it. */
static void
datagram_send (struct peerudp *peerudp, uint8_t bytes[DATAGRAM_BYTES_MAX],
               size_t size, bool all_hosts)
{
  const GPtrArray *hosts = presence_sorted_hosts (peerudp->presence);
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)size + 1);

  for (guint i = 0; i < hosts->len; i++)
    {
      const struct presence_host *host = hosts->pdata[i];
      struct sockaddr_in address;

      /* A datagram that can't be sent at once counts as lost. */
      if (host != NULL
          && (all_hosts || subsets_host_is_local (peerudp->subsets, i))
          && address_parse (host->peer, &address) == STATUS_OK)
        uv_udp_try_send (&peerudp->udp, &buffer, 1,
                         (const struct sockaddr *)&address);
    }
}

/* Apply the SIZE bytes after the type, and relay them. */
static void
blocks_relay (struct peerudp *peerudp, const uint8_t *bytes, size_t size)
{
  uint8_t datagram[DATAGRAM_BYTES_MAX];

  if (size >= sizeof datagram
      || !storeupdate_apply (peerudp->kvstores, bytes, size))
    return;
  datagram[0] = DATAGRAM_BLOCKS;
  memcpy (datagram + 1, bytes, size);
  datagram_send (peerudp, datagram, size, false);
}

static void
datagram_received (uv_udp_t *udp, ssize_t size, const uv_buf_t *buffer,
                   const struct sockaddr *from, unsigned flags)
{
  struct peerudp *peerudp = udp->data;
  const uint8_t *bytes = (const uint8_t *)buffer->base;

  if (size < 1 || from == NULL)
    return;
  if (bytes[0] == DATAGRAM_LOADS)
    loadshare_receive (peerudp->loadshare, bytes + 1, (size_t)size - 1);
  else if (bytes[0] == DATAGRAM_BLOCKS)
    storeupdate_apply (peerudp->kvstores, bytes + 1, (size_t)size - 1);
  else if (bytes[0] == DATAGRAM_BLOCKS_RELAYED)
    blocks_relay (peerudp, bytes + 1, (size_t)size - 1);
  else if (bytes[0] == DATAGRAM_ORIGIN && from->sa_family == AF_INET)
    streamorigin_receive (peerudp->origin, (const struct sockaddr_in *)from,
                          bytes + 1, (size_t)size - 1);
  else if (bytes[0] == DATAGRAM_LIMITS)
    limitshare_receive (&peerudp->limitshare, bytes + 1, (size_t)size - 1);
  else if (bytes[0] == DATAGRAM_BLAME && from->sa_family == AF_INET)
    blameshare_receive (peerudp->blameshare, (const struct sockaddr_in *)from,
                        bytes + 1, (size_t)size - 1);
}

enum status
peerudp_init (struct peerudp *peerudp, uv_loop_t *loop,
              struct loadshare *loadshare, struct kvstores *kvstores,
              const struct presence *presence, const struct subsets *subsets,
              struct streamorigin *origin, struct blameshare *blameshare,
              const struct clock *clock, const char *ip, uint16_t port,
              int64_t load_period_ns, struct error *error)
{
  struct sockaddr_in address;
  int failed;

  memset (peerudp, 0, sizeof *peerudp);
  peerudp->loadshare = loadshare;
  peerudp->kvstores = kvstores;
  peerudp->presence = presence;
  peerudp->subsets = subsets;
  peerudp->origin = origin;
  peerudp->blameshare = blameshare;
  peerudp->clock = clock;
  peerudp->load_period_ns = load_period_ns;
  peerudp->process_id
      = MAX (XXH3_64bits_withSeed (loadshare->host, strlen (loadshare->host),
                                   loadshare->process_start),
             1U);
  limitshare_init (&peerudp->limitshare, loadshare->servers, clock,
                   peerudp->process_id);
  peerudp->udp.data = peerudp;
  uv_udp_init (loop, &peerudp->udp);
  failed = uv_ip4_addr (ip, port, &address);
  if (failed == 0)
    failed = uv_udp_bind (&peerudp->udp, (struct sockaddr *)&address, 0);
  if (failed == 0)
    failed
        = uv_udp_recv_start (&peerudp->udp, buffer_alloc, datagram_received);
  if (failed != 0)
    return error_set (error, STATUS_UNAVAILABLE,
                      "cannot listen on UDP %s:%u: %s", ip, port,
                      uv_strerror (failed));
  return STATUS_OK;
}

void
peerudp_finish (struct peerudp *peerudp)
{
  if (peerudp->udp.loop == NULL)
    return;
  uv_close ((uv_handle_t *)&peerudp->udp, NULL);
  limitshare_finish (&peerudp->limitshare);
}

static bool
reaches_all_hosts (const struct peerudp *peerudp)
{
  return presence_serving_count (peerudp->presence) <= ALL_HOSTS_MAX;
}

static void
limits_send (struct peerudp *peerudp)
{
  uint8_t bytes[DATAGRAM_BYTES_MAX];
  size_t size = limitshare_encode (&peerudp->limitshare, bytes + 1);

  bytes[0] = DATAGRAM_LIMITS;
  if (size > 0)
    datagram_send (peerudp, bytes, size, reaches_all_hosts (peerudp));
}

void
peerudp_tick (struct peerudp *peerudp)
{
  struct loadshare *loadshare = peerudp->loadshare;
  uint8_t bytes[DATAGRAM_BYTES_MAX];
  int64_t now = clock_now (peerudp->clock);

  loadshare_tick (loadshare);
  limits_send (peerudp);
  if (now < peerudp->next_load_ns && !loadshare->servers->load_is_news)
    return;
  loadshare->servers->load_is_news = false;
  peerudp->next_load_ns = now + peerudp->load_period_ns;
  bytes[0] = DATAGRAM_LOADS;
  /* The leader of a rollout reports weights to the hosts of all subsets. */
  datagram_send (peerudp, bytes, loadshare_encode (loadshare, bytes + 1),
                 loadshare->ops->reports_weights (loadshare->data));
}

/* Send BYTES, an encoded update of STORE of SIZE bytes after the type, to the
 * hosts that this one polls the store for. */
static void
update_send (struct peerudp *peerudp, const char *store,
             uint8_t bytes[DATAGRAM_BYTES_MAX], size_t size)
{
  const GPtrArray *hosts = presence_sorted_hosts (peerudp->presence);
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)size + 1);

  for (guint i = 0; i < hosts->len; i++)
    {
      const struct presence_host *host = hosts->pdata[i];
      struct sockaddr_in address;
      bool relays;

      if (host == NULL
          || !storepoll_sends_to (peerudp->subsets, store, i, &relays)
          || address_parse (host->peer, &address) != STATUS_OK)
        continue;
      bytes[0] = relays ? DATAGRAM_BLOCKS_RELAYED : DATAGRAM_BLOCKS;
      /* A datagram that can't be sent at once counts as lost. */
      uv_udp_try_send (&peerudp->udp, &buffer, 1,
                       (const struct sockaddr *)&address);
    }
}

void
peerudp_send_update (struct peerudp *peerudp,
                     const struct kvstore_update *update)
{
  struct kvstore_update part = *update;
  uint8_t bytes[DATAGRAM_BYTES_MAX];

  part.sender = peerudp->process_id;
  part.sent_ns = clock_boottime (peerudp->clock);
  do
    {
      size_t size;

      storeupdate_split (update, &part);
      size = storeupdate_encode (&part, bytes + 1);
      if (size > 0)
        update_send (peerudp, update->store, bytes, size);
    }
  while (part.last_event_number < update->last_event_number);
}

void
peerudp_send_origin (struct peerudp *peerudp, const struct sockaddr_in *to,
                     const uint8_t *bytes, size_t size)
{
  uint8_t datagram[1 + STREAMORIGIN_BYTES_MAX];
  uv_buf_t buffer = uv_buf_init ((char *)datagram, (unsigned)size + 1);

  if (size > STREAMORIGIN_BYTES_MAX)
    return;
  datagram[0] = DATAGRAM_ORIGIN;
  memcpy (datagram + 1, bytes, size);
  /* A datagram that can't be sent at once counts as lost. */
  uv_udp_try_send (&peerudp->udp, &buffer, 1, (const struct sockaddr *)to);
}

void
peerudp_send_blame (struct peerudp *peerudp, const uint8_t *bytes, size_t size)
{
  uint8_t datagram[DATAGRAM_BYTES_MAX];

  if (size >= sizeof datagram)
    return;
  datagram[0] = DATAGRAM_BLAME;
  memcpy (datagram + 1, bytes, size);
  datagram_send (peerudp, datagram, size, reaches_all_hosts (peerudp));
}
