#ifndef DECLARATION_H
#define DECLARATION_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * One declared object: a row of the sheet and of a stored document. The
 * columns are described by a table, so that reading, writing and comparing
 * are the same for every type.
 */

enum declaration_type
{
  DECLARATION_ORGANISATION,
  DECLARATION_KEY, /**< A bearer key of an organisation, by its hash. */
  DECLARATION_SERVICE,
  DECLARATION_MODEL,
  DECLARATION_VERSION,
  DECLARATION_ADAPTER,
  DECLARATION_KIND, /**< A request kind of an organisation. */
  DECLARATION_BACKEND_SERVER,
  DECLARATION_DRAIN, /**< A backend server that takes no new requests. */
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
  DECLARATION_NAME_MAX = 48,      /**< bytes, with the final NUL */
  DECLARATION_KEY_HASH_SIZE = 32, /**< bytes of BLAKE2b */
  DECLARATION_KEY_HASH_MAX = 2 * DECLARATION_KEY_HASH_SIZE + 1,
  DECLARATION_CELL_MAX = 80, /**< bytes of a cell's text, with the NUL */
  DECLARATION_ID_MAX = 128   /**< bytes of "type:key/key", with the NUL */
};

/** A declared object. Columns that its type lacks are empty or 0. */
struct declaration
{
  enum declaration_type type;
  uint64_t revision; /**< The configuration revision that last changed it. */
  char organisation[DECLARATION_NAME_MAX];
  char name[DECLARATION_NAME_MAX];
  char model[DECLARATION_NAME_MAX];   /**< Kind: empty if for a service. */
  char version[DECLARATION_NAME_MAX]; /**< Model: what new requests use. */
  char service[DECLARATION_NAME_MAX]; /**< Model: of its engines. */
  char key_hash[DECLARATION_KEY_HASH_MAX]; /**< hexadecimal */
  int32_t weight;                          /**< fair share, 1 or more */
  int32_t requests_per_s;
  int32_t in_flight;
  int32_t priority; /**< 0, the most urgent, to 9 */
  int32_t deadline_ms;
  int32_t timeout_ms;
  int32_t idempotent; /**< Service: by default; kind: this kind. */
  int32_t retained;   /**< The context of this kind is kept. */
  int32_t fencing;    /**< The backend server checks fencing numbers. */
  int32_t load_limit; /**< weight loads at a time */
};

/** How a column of a type takes part. */
enum column_use
{
  COLUMN_UNUSED,
  COLUMN_KEY,    /**< A part of the identity. */
  COLUMN_VALUE,  /**< Required. */
  COLUMN_FIXED,  /**< Required, and never changes under the same key. */
  COLUMN_EITHER, /**< Exactly one such column is given; never changes. */
  COLUMN_USE_COUNT
};

const char *declaration_type_name (enum declaration_type type);

/** @return false if TEXT names no type. */
bool declaration_type_find (const char *text, enum declaration_type *type);

const char *column_name (enum column column);

/** @return false if TEXT names no column. */
bool column_find (const char *text, enum column *column);

enum column_use declaration_use (enum declaration_type type,
                                 enum column column);

/** An object of TYPE with empty columns. */
void declaration_init (struct declaration *row, enum declaration_type type);

/** Set COLUMN from TEXT; an empty TEXT empties it.
 * @return STATUS_INVALID; the message is "REASON; REMEDY". */
enum status declaration_set (struct declaration *row, enum column column,
                             const char *text, struct error *error);

/** The text of COLUMN, which holds a name or a hash. */
const char *declaration_text (const struct declaration *row,
                              enum column column);

/** The text of COLUMN, in OUT. */
void declaration_cell (const struct declaration *row, enum column column,
                       char out[DECLARATION_CELL_MAX]);

/** Check that all columns of the type are given.
 * @param column receives the offending one. */
enum status declaration_check (const struct declaration *row,
                               enum column *column, struct error *error);

/** The identity "type:key/key", in OUT. */
void declaration_id (const struct declaration *row,
                     char out[DECLARATION_ID_MAX]);

/** Order by type, then by key columns; 0 for the same identity. */
int declaration_id_compare (const struct declaration *a,
                            const struct declaration *b);

/** The identity of the TARGET type that ROW refers to, in OUT (may be NULL).
 * @return false if rows of this type or this row refer to none. */
bool declaration_reference (const struct declaration *row,
                            enum declaration_type target, char *out);

/** The column by which a row refers to TARGET. */
enum column declaration_reference_column (enum declaration_type target);

/** Same type and columns; the revision is left out. */
bool declaration_equal (const struct declaration *a,
                        const struct declaration *b);

/** A digest of type and columns, never 0; the revision is left out. */
uint64_t declaration_digest (const struct declaration *row);

#endif
