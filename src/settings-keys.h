#ifndef SETTINGS_KEYS_H
#define SETTINGS_KEYS_H

#include <stdbool.h>
#include <stddef.h>

/** @file
 * The table of settings keys, and functions that search and describe them.
 */

enum settings_type
{
  SETTINGS_TYPE_TEXT,
  SETTINGS_TYPE_CHOICE,
  SETTINGS_TYPE_BOOLEAN,
  SETTINGS_TYPE_INTEGER,
  SETTINGS_TYPE_NUMBER,
  SETTINGS_TYPE_MILLISECONDS, /**< Stored as int64_t nanoseconds. */
  SETTINGS_TYPE_SECONDS,      /**< Stored as int64_t nanoseconds. */
  SETTINGS_TYPE_ADDRESS,
  SETTINGS_TYPE_ADDRESSES,
  SETTINGS_TYPE_PLACES, /**< Regions by data centre. */
  SETTINGS_TYPE_HASH_KEY
};

enum
{
  SETTINGS_DESCRIPTION_MAX = 160 /**< Maximum size in bytes, with the NUL. */
};

/** Sets of roles. The bit of a role is 1 << enum settings_role. */
enum
{
  SETTINGS_ROLE_GATEWAY = 1,
  SETTINGS_ROLE_SHARD = 2,
  SETTINGS_ROLES_GATEWAY_SHARD = 3,
  SETTINGS_ROLE_ENTRY = 4,
  SETTINGS_ROLES_ALL = 7
};

struct settings_key
{
  const char *path;
  enum settings_type type;
  size_t offset;  /**< Offset of the key's field in struct settings. */
  unsigned roles; /**< Roles that may set the key. */
  unsigned required_roles; /**< Roles that must set the key. */
  /** Limits of the value: of a number, of the length of a text in bytes, of
   * the number of elements of an array, or of the number of hexadecimal
   * digits. */
  double min;
  double max;
  const char *const *choices; /**< Permitted texts, up to a NULL; the index of
                                 the chosen one is stored. */
  /** Default value as JSON text; NULL if there is none. */
  const char *default_json;
  const char *unit;
  const char *help;
};

/** A rule that the value of the key SMALLER is less than that of LARGER. */
struct settings_order_rule
{
  const char *smaller;
  const char *larger;
};

extern const struct settings_key settings_keys[];
extern const unsigned settings_key_count;
extern const struct settings_order_rule settings_order_rules[];
extern const unsigned settings_order_rule_count;

/** Return the key with this PATH, or NULL if there is none. */
const struct settings_key *settings_key_find (const char *path);

/** Return the key nearest to PATH by edit distance, among those that the
 * roles in the bit set ROLES may set. */
const struct settings_key *settings_key_nearest (const char *path,
                                                 unsigned roles);

/** Whether PATH names a JSON object that contains known keys. */
bool settings_key_is_section (const char *path);

/** Write a description of the type and limits of the value of KEY to TEXT. */
void settings_key_describe (const struct settings_key *key,
                            char text[SETTINGS_DESCRIPTION_MAX]);

#endif
