#include "lateness.h"
#include "clock.h"

enum
{
  /* Number of senders from which on silent ones are forgotten, and, if there
   * are no silent ones, all. */
  SENDERS_MAX = 1024,
  SILENT_S = 30,
  /* Two clocks drift apart by less than one part in so many. */
  DRIFT_PARTS = 1000
};

struct sender
{
  int64_t offset_ns;   /* Least difference of arrival and sending. */
  int64_t received_ns; /* Arrival of the last message. */
};

void
lateness_init (struct lateness *lateness)
{
  lateness->senders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
lateness_finish (struct lateness *lateness)
{
  g_hash_table_destroy (lateness->senders);
}

static gboolean
sender_is_silent (gpointer id, gpointer sender, gpointer now_ns)
{
  return *(const int64_t *)now_ns
             - ((const struct sender *)sender)->received_ns
         > SILENT_S * NS_PER_S;
}

static void
senders_forget (struct lateness *lateness, int64_t now_ns)
{
  if (g_hash_table_foreach_remove (lateness->senders, sender_is_silent,
                                   &now_ns)
      == 0)
    g_hash_table_remove_all (lateness->senders);
}

static void
sender_add (struct lateness *lateness, uint64_t id, int64_t offset_ns,
            int64_t received_ns)
{
  struct sender sender = { offset_ns, received_ns };

  if (g_hash_table_size (lateness->senders) >= SENDERS_MAX)
    senders_forget (lateness, received_ns);
  g_hash_table_insert (lateness->senders, g_memdup2 (&id, sizeof id),
                       g_memdup2 (&sender, sizeof sender));
}

int64_t
lateness_record (struct lateness *lateness, uint64_t sender_id,
                 int64_t sent_ns, int64_t received_ns)
{
  struct sender *sender = g_hash_table_lookup (lateness->senders, &sender_id);
  int64_t offset_ns;

  if (sender_id == 0 || sent_ns < 0 || sent_ns > INT64_MAX / 2)
    return -1;
  offset_ns = received_ns - sent_ns;
  if (sender == NULL)
    {
      sender_add (lateness, sender_id, offset_ns, received_ns);
      return -1;
    }
  sender->offset_ns += (received_ns - sender->received_ns) / DRIFT_PARTS;
  sender->offset_ns = MIN (sender->offset_ns, offset_ns);
  sender->received_ns = received_ns;
  return offset_ns - sender->offset_ns;
}
