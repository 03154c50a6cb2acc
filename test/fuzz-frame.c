#include "frame.h"
#include "fuzz.h"
#include "peer.pb-c.h"

#include <assert.h>
#include <string.h>

/* The first byte is the size of the parts in which the rest arrives. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  size_t part = size > 0 ? (size_t)data[0] + 1 : 1;
  struct frame_reader reader;
  const uint8_t *body;
  size_t body_size, whole = 0;

  frame_reader_init (&reader);
  for (size_t at = 1; at < size; at += part)
    {
      size_t count = size - at < part ? size - at : part;

      memcpy (frame_reader_reserve (&reader, count), data + at, count);
      frame_reader_commit (&reader, count);
      while (frame_reader_read_frame (&reader, &body, &body_size) == STATUS_OK)
        {
          Peer__Envelope *envelope
              = peer__envelope__unpack (NULL, body_size, body);

          whole += FRAME_HEADER_BYTES + body_size;
          assert (whole < size);
          if (envelope != NULL)
            peer__envelope__free_unpacked (envelope, NULL);
        }
    }
  frame_reader_finish (&reader);
  return 0;
}
