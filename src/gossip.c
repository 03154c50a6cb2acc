#include "gossip.h"
#include "address.h"

#include <inttypes.h>
#include <string.h>

static void
update_roster (struct gossip *gossip, const struct member_row *row)
{
  struct roster_entry entry = { 0 };

  entry.id = row->id;
  entry.incarnation = row->incarnation;
  entry.config_revision = row->revision;
  entry.role = row->role;
  /* A suspect counts as not alive, so that other processes are preferred. */
  entry.alive = row->state == MEMBER_ALIVE;
  entry.leaving = row->leaving;
  g_strlcpy (entry.name, row->name, sizeof entry.name);
  g_strlcpy (entry.data_centre, row->data_centre, sizeof entry.data_centre);
  g_strlcpy (entry.peer_address, row->peer_address, sizeof entry.peer_address);
  g_strlcpy (entry.http_address, row->http_address, sizeof entry.http_address);
  roster_update (gossip->roster, &entry);
}

static void
send_datagram (void *data, const char *address, const uint8_t *bytes,
               size_t size)
{
  struct gossip *gossip = data;
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)size);
  struct sockaddr_in to;

  if (address_parse (address, &to) != STATUS_OK)
    return;
  /* A datagram that the kernel does not accept at once is dropped; the
   * protocol tolerates lost datagrams. */
  if (uv_udp_try_send (&gossip->socket, &buffer, 1, (struct sockaddr *)&to)
      > 0)
    gossip->bytes_out += size;
}

static void
log_state (struct gossip *gossip, const struct member_row *row)
{
  const struct roster_entry *entry = roster_find (gossip->roster, row->id);

  if (entry != NULL && entry->incarnation == row->incarnation
      && entry->alive == (row->state == MEMBER_ALIVE)
      && entry->leaving == row->leaving && row->state < MEMBER_DEAD)
    return;
  log_event (gossip->log, EVENT_MEMBER_STATE,
             "process=%s state=%s leaving=%d incarnation=%" PRIu64
             " version=%" PRIu32,
             row->name, member_state_name (row->state), row->leaving,
             row->incarnation, row->version);
}

static void
row_changed (void *data, const struct member_row *row)
{
  struct gossip *gossip = data;

  log_state (gossip, row);
  update_roster (gossip, row);
  if (row->state <= MEMBER_SUSPECT)
    gossip->ops->revision_received (gossip->data, row->peer_address,
                                    row->revision);
}

static void
notice_received (void *data, const char *server, const char *seen_by)
{
  struct gossip *gossip = data;

  gossip->ops->notice_received (gossip->data, server, seen_by);
}

static const struct member_ops member_ops
    = { send_datagram, row_changed, notice_received };

static void
allocate_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct gossip *gossip = handle->data;

  buffer->base = (char *)gossip->buffer;
  buffer->len = sizeof gossip->buffer;
}

static void
datagram_received (uv_udp_t *socket, ssize_t received, const uv_buf_t *buffer,
                   const struct sockaddr *from, unsigned flags)
{
  struct gossip *gossip = socket->data;

  if (received <= 0 || received > MEMBER_DATAGRAM_MAX)
    return;
  gossip->bytes_in += received;
  member_receive (&gossip->member, gossip->buffer, (size_t)received);
}

static enum status
open_socket (struct gossip *gossip, uv_loop_t *loop, const char *address,
             struct error *error)
{
  struct sockaddr_in at;
  int rc;

  if (address_parse (address, &at) != STATUS_OK)
    return error_set (error, STATUS_INVALID,
                      "invalid address: %s (expected IP:PORT)", address);
  uv_udp_init (loop, &gossip->socket);
  gossip->socket.data = gossip;
  rc = uv_udp_bind (&gossip->socket, (struct sockaddr *)&at, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&gossip->socket, allocate_buffer,
                            datagram_received);
  if (rc == 0)
    return STATUS_OK;
  uv_close ((uv_handle_t *)&gossip->socket, NULL);
  return error_set (error, STATUS_UNAVAILABLE,
                    "cannot receive UDP datagrams at %s: %s", address,
                    uv_strerror (rc));
}

enum status
gossip_init (struct gossip *gossip, uv_loop_t *loop, const struct clock *clock,
             struct rng *rng, struct log *log, struct roster *roster,
             const char *address, const struct member_row *self,
             const struct gossip_ops *ops, void *data, struct error *error)
{
  enum status status;

  memset (gossip, 0, sizeof *gossip);
  gossip->roster = roster;
  gossip->log = log;
  gossip->ops = ops;
  gossip->data = data;
  status = open_socket (gossip, loop, address, error);
  if (status != STATUS_OK)
    return status;
  member_init (&gossip->member, &member_settings_default, self, clock, rng,
               &member_ops, gossip);
  update_roster (gossip, self);
  return STATUS_OK;
}

void
gossip_finish (struct gossip *gossip)
{
  uv_close ((uv_handle_t *)&gossip->socket, NULL);
  member_finish (&gossip->member);
}

void
gossip_set_revision (struct gossip *gossip, uint64_t revision)
{
  member_set_revision (&gossip->member, revision);
  update_roster (gossip, &gossip->member.self);
}

void
gossip_set_leaving (struct gossip *gossip)
{
  member_set_leaving (&gossip->member);
  update_roster (gossip, &gossip->member.self);
}

void
gossip_announce_exit (struct gossip *gossip)
{
  member_announce_exit (&gossip->member);
}

void
gossip_tick (struct gossip *gossip)
{
  member_tick (&gossip->member);
}
