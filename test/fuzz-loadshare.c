#include "fuzz.h"
#include "loadshare.h"

#include <string.h>

static void
changed (void *data, const struct server *server, const char *what)
{
}

static bool
never (void *data)
{
  return false;
}

static bool
never_of (void *data, const struct server *server)
{
  return false;
}

static void
told (void *data, struct server *server, uint64_t version)
{
}

static uint64_t
no_version (void *data, const struct server *server)
{
  return 0;
}

static const struct servers_ops servers_ops = { changed, NULL };
static const struct loadshare_ops share_ops
    = { never, never_of, told, no_version, NULL, NULL };

/* A datagram from anybody. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct clock_fake fake_clock;
  struct servers servers;
  struct loadshare loadshare;

  clock_fake_init (&fake_clock, NS_PER_S);
  servers_init (&servers, NULL, &fake_clock.clock, "dc", NS_PER_S,
                &servers_ops, NULL);
  loadshare_init (&loadshare, &servers, &fake_clock.clock, "h", 1, &share_ops,
                  NULL);
  loadshare_receive (&loadshare, data, size);
  loadshare_tick (&loadshare);
  loadshare_finish (&loadshare);
  servers_finish (&servers);
  return 0;
}
