#include "peerlink.h"
#include "address.h"

#include <string.h>

/* The first byte of a datagram. */
enum kind
{
  KIND_LOADS = 1,
  KIND_PARTS = 2
};

enum
{
  BYTES_MAX = 1 + MAX (LOADSHARE_BYTES_MAX, PARTSNEWS_BYTES_MAX)
};

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[BYTES_MAX];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_datagram (uv_udp_t *udp, ssize_t size, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  struct peerlink *peerlink = udp->data;
  const uint8_t *bytes = (const uint8_t *)buffer->base;

  if (size < 1 || from == NULL)
    return;
  if (bytes[0] == KIND_LOADS)
    loadshare_read (peerlink->loadshare, bytes + 1, (size_t)size - 1);
  else if (bytes[0] == KIND_PARTS)
    partsnews_read (peerlink->kvstores, bytes + 1, (size_t)size - 1);
}

enum status
peerlink_init (struct peerlink *peerlink, uv_loop_t *loop,
               struct loadshare *loadshare, struct kvstores *kvstores,
               const struct presence *presence, const struct cells *cells,
               const struct clock *clock, const char *ip, uint16_t port,
               int64_t period_ns, struct error *error)
{
  struct sockaddr_in address;
  int failed;

  memset (peerlink, 0, sizeof *peerlink);
  peerlink->loadshare = loadshare;
  peerlink->kvstores = kvstores;
  peerlink->presence = presence;
  peerlink->cells = cells;
  peerlink->clock = clock;
  peerlink->period_ns = period_ns;
  peerlink->udp.data = peerlink;
  uv_udp_init (loop, &peerlink->udp);
  failed = uv_ip4_addr (ip, port, &address);
  if (failed == 0)
    failed = uv_udp_bind (&peerlink->udp, (struct sockaddr *)&address, 0);
  if (failed == 0)
    failed = uv_udp_recv_start (&peerlink->udp, on_alloc, on_datagram);
  if (failed != 0)
    return error_set (error, STATUS_UNAVAILABLE,
                      "cannot listen on UDP %s:%u: %s", ip, port,
                      uv_strerror (failed));
  return STATUS_OK;
}

/* Send SIZE bytes and before them their kind, for which there is room, to the
 * hosts of the own cell or to all. */
static void
bytes_send (struct peerlink *peerlink, uint8_t bytes[BYTES_MAX], size_t size,
            bool all)
{
  GPtrArray *hosts = presence_ordered (peerlink->presence);
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)size + 1);

  for (guint i = 0; i < hosts->len; i++)
    {
      const struct presence_host *host = hosts->pdata[i];
      struct sockaddr_in address;

      /* A datagram that can't be sent now is as good as one that is lost. */
      if (host != NULL && (all || cells_has (peerlink->cells, i))
          && address_parse (host->peer, &address) == STATUS_OK)
        uv_udp_try_send (&peerlink->udp, &buffer, 1,
                         (const struct sockaddr *)&address);
    }
  g_ptr_array_free (hosts, TRUE);
}

void
peerlink_tick (struct peerlink *peerlink)
{
  struct loadshare *loadshare = peerlink->loadshare;
  uint8_t bytes[BYTES_MAX];
  int64_t now = clock_now (peerlink->clock);

  loadshare_tick (loadshare);
  if (now < peerlink->next_ns)
    return;
  peerlink->next_ns = now + peerlink->period_ns;
  bytes[0] = KIND_LOADS;
  /* The holder of the duty of weights tells all hosts. */
  bytes_send (peerlink, bytes, loadshare_write (loadshare, bytes + 1),
              loadshare->ops->tells_weights (loadshare->data));
}

void
peerlink_send_news (struct peerlink *peerlink, const struct kvstore_news *news)
{
  uint8_t bytes[BYTES_MAX];
  size_t size = partsnews_write (news, bytes + 1);

  bytes[0] = KIND_PARTS;
  if (size > 0)
    bytes_send (peerlink, bytes, size, false);
}
