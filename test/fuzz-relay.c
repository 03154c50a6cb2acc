#include "fuzz.h"
#include "relay.h"

#include <assert.h>

static uint64_t expected;
static int ends;

static void
on_piece (struct relay *relay, const struct relay_event *piece, int end)
{
  assert (ends == 0);
  assert (piece->sequence == expected);
  expected++;
  ends += end;
}

static const struct relay_ops ops = { on_piece };

/* The first byte is the size of the parts in which the rest arrives; a part
 * that the relay cannot go on from is followed by another connection. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  size_t part = size > 0 ? (size_t)data[0] + 1 : 1;
  struct relay relay;
  enum relay_state state;

  expected = 0;
  ends = 0;
  relay_init (&relay, &ops, "r1");
  for (size_t at = 1; at < size; at += part)
    {
      size_t count = size - at < part ? size - at : part;

      state = relay_feed (&relay, (const char *)data + at, count);
      if (state == RELAY_GAP || state == RELAY_INVALID)
        relay_disconnected (&relay);
      assert ((state == RELAY_COMPLETE) == (ends == 1));
      assert (ends == 1 || relay_next_sequence (&relay) == expected);
    }
  relay_finish (&relay);
  return 0;
}
