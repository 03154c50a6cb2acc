#include "membersign.h"

#include <string.h>

struct sign
{
  struct list node; /* the oldest note first */
  char server[SETTINGS_TEXT_MAX];
  char seen_by[MEMBER_NAME_MAX];
  int64_t since_ns;
};

void
membersign_init (struct member *member)
{
  list_init (&member->signs);
  member->sign_by_name = g_hash_table_new (g_str_hash, g_str_equal);
}

static void
drop (struct member *member, struct sign *sign)
{
  list_remove (&sign->node);
  g_hash_table_remove (member->sign_by_name, sign->server);
  g_free (sign);
}

void
membersign_finish (struct member *member)
{
  while (!list_empty (&member->signs))
    drop (member, LIST_ENTRY (member->signs.next, struct sign, node));
  g_hash_table_unref (member->sign_by_name);
}

bool
membersign_note (struct member *member, const char *server,
                 const char *seen_by, int64_t since_ns)
{
  struct sign *sign;

  if (g_hash_table_contains (member->sign_by_name, server)
      || g_hash_table_size (member->sign_by_name) >= MEMBER_SIGN_LIMIT
      || strlen (server) >= sizeof sign->server
      || strlen (seen_by) >= sizeof sign->seen_by)
    return false;
  sign = g_new0 (struct sign, 1);
  g_strlcpy (sign->server, server, sizeof sign->server);
  g_strlcpy (sign->seen_by, seen_by, sizeof sign->seen_by);
  sign->since_ns = since_ns;
  list_append (&member->signs, &sign->node);
  g_hash_table_insert (member->sign_by_name, sign->server, sign);
  return true;
}

/* The ones in a datagram take turns. */
void
membersign_fill (struct member *member, struct memberwire *wire, size_t limit)
{
  int64_t now = clock_now (member->clock);
  size_t count = MIN (g_hash_table_size (member->sign_by_name),
                      (guint)MEMBER_SIGNS_MAX);

  for (size_t i = 0; i < count; i++)
    {
      struct sign *sign = LIST_ENTRY (member->signs.next, struct sign, node);

      if (!memberwire_add_sign (wire, sign->server, sign->seen_by,
                                now - sign->since_ns, limit))
        return;
      list_remove (&sign->node);
      list_append (&member->signs, &sign->node);
    }
}

void
membersign_take (struct member *member, const Member__Datagram *datagram)
{
  int64_t now = clock_now (member->clock);

  for (size_t i = 0; i < datagram->n_signs; i++)
    {
      const Member__Sign *message = datagram->signs[i];
      int64_t age_ns = (int64_t)message->age_ms * NS_PER_MS;

      if (age_ns >= member->settings->sign_life_ns
          || !membersign_note (member, message->server, message->seen_by,
                               now - age_ns))
        continue;
      member->ops->signed_out (member->data, message->server,
                               message->seen_by);
      if (member->urgent == 0)
        member->next_spread_ns = MAX (member->next_spread_ns, now);
      member->urgent = MEMBER_ROUNDS;
    }
}

void
membersign_expire (struct member *member, int64_t now_ns)
{
  struct list *at = member->signs.next;

  while (at != &member->signs)
    {
      struct sign *sign = LIST_ENTRY (at, struct sign, node);

      at = at->next;
      if (now_ns - sign->since_ns >= member->settings->sign_life_ns)
        drop (member, sign);
    }
}
