#ifndef STANDIN_RUN_H
#define STANDIN_RUN_H

#include "standin-engine.h"

/** @file
 * One completion inside the stand-in engine.
 */

struct run
{
  struct list node; /* on one of the lists below */
  char *id;
  int priority;
  const char *version;
  struct json_object *ask; /* "blocks" and "imports" of the request */
  int64_t prompt_tokens;
  double prefill_left; /* tokens */
  int cached;          /* blocks */
  int imported;        /* blocks */
  GArray *imports_ok;  /* bool for each import */
  int waits;           /* for imports and faults before the prefill */
  int64_t total;       /* tokens */
  int64_t produced;
  bool cancelled;
  h2o_req_t *waiting; /* whose answer has not begun */
  bool stream_wanted;
  struct stream *stream;
  int64_t sent;
  int64_t cut_at; /* pieces; 0: never */
  bool end_sent;
  /* The parts of an event around the two numbers. */
  char *event_head;
  char *event_middle;
  char text_head[10]; /* "HHHHHHHH-" */
};

/** The list KEY of what the request asked for, or NULL. */
struct json_object *run_part (const struct run *run, const char *key);
/** The id of the prompt's piece I; NULL past the last whole piece. */
const char *run_block (const struct run *run, size_t i);
int64_t run_computed_tokens (const struct run *run);
/** Any run but RUN, or NULL. */
const struct run *run_other (const struct run *run);
/** One thing that the run waited for before its prefill is there. */
void run_wait_over (void *data);
/** Fetch the imports that continue the cached prefix. */
void run_import (struct run *run);

/** Add the headers that say what was reused. */
void answer_headers (const struct run *run, h2o_req_t *req);
/** Begin to stream the events from the sequence FROM to REQ. */
void answer_stream (struct run *run, h2o_req_t *req, int64_t from);
/** Write what has been produced, as far as the connection takes it. */
void answer_pump (struct run *run);
/** Answer the waiting request with the whole text. */
void answer_whole (struct run *run);

#endif
