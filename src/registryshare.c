#include "registryshare.h"
#include "registryshare.pb-c.h"

#include <string.h>

enum
{
  /* A report is sent several times, since datagrams may be lost. */
  SENDS = 3,
  SEND_INTERVAL_MS = 100
};

/* Share of the pause after which the host after the last reader reads. The
 * others follow in the rest, so that they hear of its read before their own
 * turn. */
static const double first_share = 0.7;

void
registryshare_init (struct registryshare *share, const struct clock *clock,
                    uint64_t process_id)
{
  memset (share, 0, sizeof *share);
  share->clock = clock;
  share->process_id = process_id;
  share->host_count = 1;
  lateness_init (&share->lateness);
}

void
registryshare_finish (struct registryshare *share)
{
  lateness_finish (&share->lateness);
}

void
registryshare_changed (struct registryshare *share, uint64_t revision)
{
  share->changed_at = MAX (share->changed_at, revision);
}

void
registryshare_read (struct registryshare *share, int64_t sent_ns)
{
  share->read_ns = sent_ns;
  share->sends_left = SENDS;
  share->next_send_ns = clock_now (share->clock);
}

void
registryshare_era_changed (struct registryshare *share)
{
  share->changed_at = 0;
  share->told_change = 0;
  share->others_read_ns = 0;
  share->sends_left = 0;
}

size_t
registryshare_encode (struct registryshare *share,
                      uint8_t bytes[REGISTRYSHARE_BYTES_MAX])
{
  Trefoilspar__RegistryRead message = TREFOILSPAR__REGISTRY_READ__INIT;
  int64_t now = clock_now (share->clock);

  if (share->sends_left == 0 || now < share->next_send_ns)
    return 0;
  share->sends_left--;
  share->next_send_ns = now + SEND_INTERVAL_MS * NS_PER_MS;
  message.sender = share->process_id;
  message.sent_ns = clock_boottime (share->clock);
  message.age_ns = (uint64_t)MAX (message.sent_ns - share->read_ns, 0);
  message.changed_at = share->changed_at;
  message.rank = share->rank;
  return trefoilspar__registry_read__pack (&message, bytes);
}

/* Note that the host at RANK has read the registry at READ_NS. */
static void
read_note (struct registryshare *share, int64_t read_ns, unsigned rank)
{
  if (read_ns <= share->others_read_ns)
    return;
  share->others_read_ns = read_ns;
  share->others_rank = rank;
}

bool
registryshare_receive (struct registryshare *share, const uint8_t *bytes,
                       size_t size)
{
  Trefoilspar__RegistryRead *message
      = trefoilspar__registry_read__unpack (NULL, size, bytes);
  int64_t now = clock_boottime (share->clock);
  int64_t late_ns;

  if (message == NULL)
    return false;
  late_ns = lateness_record (&share->lateness, message->sender,
                             message->sent_ns, now);
  share->told_change = MAX (share->told_change, message->changed_at);
  /* A report of which the lateness is unknown may be of any age. */
  if (late_ns >= 0 && message->age_ns < (uint64_t)now)
    read_note (share, now - late_ns - (int64_t)message->age_ns, message->rank);
  trefoilspar__registry_read__free_unpacked (message, NULL);
  return true;
}

void
registryshare_set_rank (struct registryshare *share, unsigned rank,
                        unsigned host_count)
{
  share->host_count = MAX (host_count, 1U);
  share->rank = rank % share->host_count;
}

int64_t
registryshare_least_pause_ns (int64_t pause_ns)
{
  return (int64_t)(first_share * (double)pause_ns);
}

bool
registryshare_may_wait (const struct registryshare *share, uint64_t revision,
                        int64_t pause_ns)
{
  bool was_own = share->read_ns >= share->others_read_ns;
  unsigned reader = was_own ? share->rank : share->others_rank;
  /* Number of hosts whose turn comes before that of this host. */
  unsigned before
      = (share->rank + 2 * share->host_count - 1 - reader % share->host_count)
        % share->host_count;
  double turn
      = first_share + (1 - first_share) * before / (double)share->host_count;
  int64_t read_ns = MAX (share->read_ns, share->others_read_ns);

  return share->told_change <= revision
         && (double)(clock_boottime (share->clock) - read_ns)
                < turn * (double)pause_ns;
}
