#ifndef DECLARATION_H
#define DECLARATION_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * One declared object: a row of a sheet and of a stored document. A table
 * describes the columns, so that all types share the code that reads, writes
 * and compares them.
 */

enum declaration_type
{
  DECLARATION_ORGANISATION,
  DECLARATION_KEY, /**< Bearer key of an organisation, stored as a hash. */
  DECLARATION_SERVICE,
  DECLARATION_MODEL,
  DECLARATION_VERSION,
  DECLARATION_ADAPTER,
  DECLARATION_REQUEST_KIND, /**< Request kind of an organisation. */
  DECLARATION_BACKEND_SERVER,
  DECLARATION_DRAIN, /**< Declares that a backend server takes no new requests.
                      */
  DECLARATION_TYPE_COUNT
};

enum column
{
  COLUMN_ORGANISATION,
  COLUMN_NAME,
  COLUMN_MODEL,
  COLUMN_VERSION,
  COLUMN_SERVICE,
  COLUMN_WEIGHT,
  COLUMN_REQUESTS_PER_S,
  COLUMN_IN_FLIGHT,
  COLUMN_PRIORITY,
  COLUMN_DEADLINE_MS,
  COLUMN_TIMEOUT_MS,
  COLUMN_IDEMPOTENT,
  COLUMN_RETAINED,
  COLUMN_KEY_HASH,
  COLUMN_FENCING,
  COLUMN_LOAD_LIMIT,
  COLUMN_COUNT
};

enum
{
  /** Maximum size of a name in bytes, with the final NUL. */
  DECLARATION_NAME_MAX = 48,
  /** Size of the BLAKE2b hash of a bearer key in bytes. */
  DECLARATION_KEY_HASH_SIZE = 32,
  /** Size of a hash as hexadecimal text in bytes, with the final NUL. */
  DECLARATION_KEY_HASH_MAX = 2 * DECLARATION_KEY_HASH_SIZE + 1,
  /** Maximum size of the text of a column in bytes, with the final NUL. */
  DECLARATION_CELL_MAX = 80,
  /** Maximum size of the identity "type:key/key" in bytes, with the NUL. */
  DECLARATION_ID_MAX = 128
};

/** A declared object. Columns that its type does not have are empty or 0. A
 * number or choice column of its type that has no value is -1. */
struct declaration
{
  enum declaration_type type;
  uint64_t revision; /**< Configuration revision of the last change. */
  char organisation[DECLARATION_NAME_MAX];
  char name[DECLARATION_NAME_MAX];
  /** In a request kind: the model, or empty if the kind is for a service. */
  char model[DECLARATION_NAME_MAX];
  /** In a model: the weight version that new requests use. */
  char version[DECLARATION_NAME_MAX];
  /** In a model: the service of its engines. */
  char service[DECLARATION_NAME_MAX];
  char key_hash[DECLARATION_KEY_HASH_MAX]; /**< Hexadecimal hash of a bearer
                                              key. */
  int32_t weight; /**< Weight in the fair queue, at least 1. */
  int32_t requests_per_s;
  int32_t in_flight; /**< Maximum number of requests in flight. */
  int32_t priority;  /**< 0 is the most urgent, 9 the least. */
  int32_t deadline_ms;
  int32_t timeout_ms;
  /** 1: requests are idempotent. In a service, this is the default; in a
   * request kind, it holds for that kind. */
  int32_t idempotent;
  int32_t retained;   /**< 1: the context of this request kind is kept. */
  int32_t fencing;    /**< 1: the backend server checks fencing tokens. */
  int32_t load_limit; /**< Maximum number of concurrent weight loads. */
};

/** How a type uses a column. */
enum column_use
{
  COLUMN_USE_NONE, /**< The type does not have the column. */
  COLUMN_USE_KEY,  /**< The column is part of the identity. */
  COLUMN_USE_REQUIRED,
  COLUMN_USE_FIXED, /**< Required; never changes under the same identity. */
  /** Exactly one of the columns with this use is required. None of them
   * changes under the same identity. */
  COLUMN_USE_ONE_OF,
  COLUMN_USE_COUNT
};

const char *declaration_type_name (enum declaration_type type);

/** Find the type whose name is TEXT.
 * @return false if there is none */
bool declaration_type_find (const char *text, enum declaration_type *type);

const char *column_name (enum column column);

/** Find the column whose name is TEXT.
 * @return false if there is none */
bool column_find (const char *text, enum column *column);

enum column_use declaration_column_use (enum declaration_type type,
                                        enum column column);

/** Initialise ROW as an object of TYPE with empty columns. */
void declaration_init (struct declaration *row, enum declaration_type type);

/** Set COLUMN from TEXT, or empty it if TEXT is empty.
 * @return STATUS_OK, or STATUS_INVALID with the message "REASON; REMEDY". */
enum status declaration_set_cell (struct declaration *row, enum column column,
                                  const char *text, struct error *error);

/** Return the text of COLUMN, which must hold a name or a hash. */
const char *declaration_get_text (const struct declaration *row,
                                  enum column column);

/** Write the value of any COLUMN as text to OUT. */
void declaration_format_cell (const struct declaration *row,
                              enum column column,
                              char out[DECLARATION_CELL_MAX]);

/** Check that ROW has a value in each column that its type requires, and in
 * exactly one of its COLUMN_USE_ONE_OF columns, if any.
 * @param column receives the column that lacks a value or must be empty
 * @return STATUS_OK, or STATUS_INVALID with the message "REASON; REMEDY". */
enum status declaration_check_complete (const struct declaration *row,
                                        enum column *column,
                                        struct error *error);

/** Write the identity of ROW, "type:key/key", to OUT. */
void declaration_format_id (const struct declaration *row,
                            char out[DECLARATION_ID_MAX]);

/** Compare A and B by type, then by key columns.
 * @return 0 for the same identity, else a negative or positive value. */
int declaration_compare_ids (const struct declaration *a,
                             const struct declaration *b);

/** Write the identity of the TARGET object that ROW refers to, to OUT (may be
 * NULL).
 * @return false if ROW does not refer to an object of type TARGET. */
bool declaration_find_reference (const struct declaration *row,
                                 enum declaration_type target, char *out);

/** Return the column that names the object in references to TARGET. */
enum column declaration_reference_column (enum declaration_type target);

/** Return whether A and B have equal types and columns. Ignores the revision.
 */
bool declaration_equals (const struct declaration *a,
                         const struct declaration *b);

/** Return a digest of the type and columns of ROW; never 0. Ignores the
 * revision. */
uint64_t declaration_digest (const struct declaration *row);

#endif
