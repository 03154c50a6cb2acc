#ifndef FRAME_H
#define FRAME_H

#include "status.h"

#include <stddef.h>
#include <stdint.h>

/** @file
 * Frames on a byte stream: a 4-byte length in network order, then so many
 * bytes.
 */

enum
{
  FRAME_HEAD_SIZE = 4,             /**< bytes */
  FRAME_BODY_MAX = 8 * 1024 * 1024 /**< bytes; longer frames are refused */
};

/** Bytes received and not yet taken. */
struct frame_reader
{
  uint8_t *bytes;
  size_t size;
  size_t capacity;
  size_t taken; /**< bytes at the front that were handed out */
};

void frame_reader_init (struct frame_reader *reader);
void frame_reader_finish (struct frame_reader *reader);

/** Room for at least SIZE bytes at the end of the reader. */
uint8_t *frame_reader_reserve (struct frame_reader *reader, size_t size);

/** SIZE bytes have been written to the reserved room. */
void frame_reader_commit (struct frame_reader *reader, size_t size);

/** Take the next whole frame. BODY stays valid until the next reserve.
 * @return STATUS_OK, STATUS_NOT_FOUND if no frame is whole yet, or
 * STATUS_TOO_LARGE if the stream cannot be read on. */
enum status frame_reader_next (struct frame_reader *reader,
                               const uint8_t **body, size_t *size);

/** Write the head of a frame of SIZE bytes. */
void frame_head (uint8_t head[FRAME_HEAD_SIZE], size_t size);

#endif
