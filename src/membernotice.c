#include "membernotice.h"

#include <string.h>

struct notice
{
  struct list node; /* Node in the list of notices. */
  char server[SETTINGS_TEXT_MAX];
  char seen_by[MEMBER_NAME_MAX];
  int64_t seen_ns;
};

void
membernotice_init (struct member *member)
{
  list_init (&member->notices);
  member->notice_by_server = g_hash_table_new (g_str_hash, g_str_equal);
}

static void
remove_notice (struct member *member, struct notice *notice)
{
  list_remove (&notice->node);
  g_hash_table_remove (member->notice_by_server, notice->server);
  g_free (notice);
}

void
membernotice_finish (struct member *member)
{
  while (!list_empty (&member->notices))
    remove_notice (member,
                   LIST_ENTRY (member->notices.next, struct notice, node));
  g_hash_table_unref (member->notice_by_server);
}

bool
membernotice_add (struct member *member, const char *server,
                  const char *seen_by, int64_t seen_ns)
{
  struct notice *notice;

  if (g_hash_table_contains (member->notice_by_server, server)
      || g_hash_table_size (member->notice_by_server)
             >= MEMBER_NOTICES_HELD_MAX
      || strlen (server) >= sizeof notice->server
      || strlen (seen_by) >= sizeof notice->seen_by)
    return false;
  notice = g_new0 (struct notice, 1);
  g_strlcpy (notice->server, server, sizeof notice->server);
  g_strlcpy (notice->seen_by, seen_by, sizeof notice->seen_by);
  notice->seen_ns = seen_ns;
  list_append (&member->notices, &notice->node);
  g_hash_table_insert (member->notice_by_server, notice->server, notice);
  return true;
}

/* Notices that were written move to the end of the list, so that the others
 * come first in the next datagram if not all fit in one. */
void
membernotice_write (struct member *member, struct memberwire *wire,
                    size_t limit)
{
  int64_t now = clock_now (member->clock);
  size_t count = MIN (g_hash_table_size (member->notice_by_server),
                      (guint)MEMBER_NOTICES_MAX);

  for (size_t i = 0; i < count; i++)
    {
      struct notice *notice
          = LIST_ENTRY (member->notices.next, struct notice, node);

      if (!memberwire_add_notice (wire, notice->server, notice->seen_by,
                                  now - notice->seen_ns, limit))
        return;
      list_remove (&notice->node);
      list_append (&member->notices, &notice->node);
    }
}

void
membernotice_receive (struct member *member, const Member__Datagram *datagram)
{
  int64_t now = clock_now (member->clock);

  for (size_t i = 0; i < datagram->n_signs; i++)
    {
      const Member__Sign *message = datagram->signs[i];
      int64_t age_ns = (int64_t)message->age_ms * NS_PER_MS;

      if (age_ns >= member->settings->notice_lifetime_ns
          || !membernotice_add (member, message->server, message->seen_by,
                                now - age_ns))
        continue;
      member->ops->notice_received (member->data, message->server,
                                    message->seen_by);
      if (member->urgent_rounds == 0)
        member->next_urgent_ns = MAX (member->next_urgent_ns, now);
      member->urgent_rounds = MEMBER_URGENT_ROUNDS;
    }
}

void
membernotice_expire (struct member *member, int64_t now_ns)
{
  struct list *at = member->notices.next;

  while (at != &member->notices)
    {
      struct notice *notice = LIST_ENTRY (at, struct notice, node);

      at = at->next;
      if (now_ns - notice->seen_ns >= member->settings->notice_lifetime_ns)
        remove_notice (member, notice);
    }
}
