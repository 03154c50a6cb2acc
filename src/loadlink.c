#include "loadlink.h"
#include "address.h"

#include <string.h>

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[LOADSHARE_BYTES_MAX];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_datagram (uv_udp_t *udp, ssize_t size, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  struct loadlink *loadlink = udp->data;

  if (size > 0 && from != NULL)
    loadshare_read (loadlink->loadshare, (const uint8_t *)buffer->base,
                    (size_t)size);
}

enum status
loadlink_init (struct loadlink *loadlink, uv_loop_t *loop,
               struct loadshare *loadshare, const struct presence *presence,
               const struct cells *cells, const struct clock *clock,
               const char *ip, uint16_t port, int64_t period_ns,
               struct error *error)
{
  struct sockaddr_in address;
  int failed;

  memset (loadlink, 0, sizeof *loadlink);
  loadlink->loadshare = loadshare;
  loadlink->presence = presence;
  loadlink->cells = cells;
  loadlink->clock = clock;
  loadlink->period_ns = period_ns;
  loadlink->udp.data = loadlink;
  uv_udp_init (loop, &loadlink->udp);
  failed = uv_ip4_addr (ip, port, &address);
  if (failed == 0)
    failed = uv_udp_bind (&loadlink->udp, (struct sockaddr *)&address, 0);
  if (failed == 0)
    failed = uv_udp_recv_start (&loadlink->udp, on_alloc, on_datagram);
  if (failed != 0)
    return error_set (error, STATUS_UNAVAILABLE,
                      "cannot listen on UDP %s:%u: %s", ip, port,
                      uv_strerror (failed));
  return STATUS_OK;
}

/* Hosts tell those of their own cell; the holder of the duty of weights tells
 * all. */
static bool
is_told (const struct loadlink *loadlink, unsigned index, bool all)
{
  return all || cells_has (loadlink->cells, index);
}

void
loadlink_tick (struct loadlink *loadlink)
{
  struct loadshare *loadshare = loadlink->loadshare;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  int64_t now = clock_now (loadlink->clock);
  bool all = loadshare->ops->tells_weights (loadshare->data);
  GPtrArray *hosts;
  uv_buf_t buffer;

  loadshare_tick (loadshare);
  if (now < loadlink->next_ns)
    return;
  loadlink->next_ns = now + loadlink->period_ns;
  buffer = uv_buf_init ((char *)bytes,
                        (unsigned)loadshare_write (loadshare, bytes));
  hosts = presence_ordered (loadlink->presence);
  for (guint i = 0; i < hosts->len; i++)
    {
      const struct presence_host *host = hosts->pdata[i];
      struct sockaddr_in address;

      /* A datagram that can't be sent now is as good as one that is lost. */
      if (host != NULL && is_told (loadlink, i, all)
          && address_parse (host->peer, &address) == STATUS_OK)
        uv_udp_try_send (&loadlink->udp, &buffer, 1,
                         (const struct sockaddr *)&address);
    }
  g_ptr_array_free (hosts, TRUE);
}
