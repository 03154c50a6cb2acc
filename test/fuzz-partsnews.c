#include "fuzz.h"
#include "storeupdate.h"

#include <string.h>

/* A datagram from anybody. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct clock_fake fake_clock;
  struct kvstores kvstores;
  struct log silent;

  clock_fake_init (&fake_clock, NS_PER_S);
  log_null_init (&silent);
  kvstores_init (&kvstores, &kvstores_settings_default, &fake_clock.clock,
                 &silent, NULL, NULL);
  storeupdate_apply (&kvstores, data, size);
  kvstores_finish (&kvstores);
  return 0;
}
