#ifndef STATEMENT_H
#define STATEMENT_H

#include <stdint.h>

/** @file
 * What a response states of the backend server that made it, in a form that
 * does not depend on the platform's header fields.
 */

enum statement_kind
{
  STATEMENT_NONE,      /**< The response does not state it. */
  STATEMENT_VALID,     /**< The response states it. */
  STATEMENT_MALFORMED, /**< The stated value is not allowed. */
  STATEMENT_REPEATED,  /**< It is stated more than once. */
  STATEMENT_FOREIGN    /**< Another server made the response. */
};

struct statement
{
  enum statement_kind leaving; /**< The server accepts no new requests. */
  enum statement_kind pause;   /**< The server turned the request away, and
                                  wants nothing from this host for pause_ns. */
  int64_t pause_ns;            /**< Valid if `pause` is. */
  enum statement_kind brittle; /**< The server falls over once it has to reject
                                  more than `rejections` requests within a
                                  second for want of room. */
  unsigned rejections;         /**< Valid if `brittle` is. */
  enum statement_kind cold;    /**< The server is cold for another cold_ns. */
  int64_t cold_ns;             /**< Valid if `cold` is; 0: it is warm. */
};

#endif
