#include "entryblame.h"
#include "entry.h"

static void
blame_send (void *data, const uint8_t *bytes, size_t size)
{
  struct entry *entry = data;

  peerudp_send_blame (&entry->peerudp, bytes, size);
}

static void
crash_explained (void *data, const char *server)
{
  struct entry *entry = data;

  poisoncount_forgive_server (&entry->poisoncount, server);
}

const struct blameshare_ops entryblame_ops = { blame_send, crash_explained };
