#ifndef FRAME_H
#define FRAME_H

#include "status.h"

#include <stddef.h>
#include <stdint.h>

/** @file
 * Frames on a byte stream: a header with the length of the body as 4 bytes
 * in network byte order, then the body.
 */

enum
{
  FRAME_HEADER_BYTES = 4,
  /** Maximum size of a body; a frame with a longer one is refused. */
  FRAME_BODY_MAX_BYTES = 8 * 1024 * 1024
};

/** Buffer of received bytes that splits them into frames. */
struct frame_reader
{
  uint8_t *bytes;
  size_t size;
  size_t capacity;
  size_t consumed; /**< Size of the frames that were already returned. */
};

void frame_reader_init (struct frame_reader *reader);
void frame_reader_finish (struct frame_reader *reader);

/** Reserve space for at least SIZE more bytes.
 * @return Address of the reserved space. */
uint8_t *frame_reader_reserve (struct frame_reader *reader, size_t size);

/** Add the SIZE bytes that were written to the reserved space. */
void frame_reader_commit (struct frame_reader *reader, size_t size);

/** Consume the next frame. BODY stays valid until the next call of
 * frame_reader_reserve.
 * @return STATUS_OK; STATUS_NOT_FOUND if the next frame is not complete yet;
 * STATUS_TOO_LARGE if the length of its body exceeds the limit, after which
 * the rest of the stream cannot be read either. */
enum status frame_reader_read_frame (struct frame_reader *reader,
                                     const uint8_t **body, size_t *size);

/** Write the header of a frame whose body has SIZE bytes. */
void frame_write_header (uint8_t header[FRAME_HEADER_BYTES], size_t size);

#endif
