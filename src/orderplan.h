#ifndef ORDERPLAN_H
#define ORDERPLAN_H

#include "config.h"
#include "engine.h"

/** @file
 * What the engines of a service ought to have loaded, compared with what one
 * of them reports.
 *
 * The current version of each model, with its adapters, is to be loaded, and
 * then each version that was declared after the model was last changed: it is
 * about to be used, and new requests can change to it without a wait. Other
 * declared versions may stay; what is no longer declared is to go.
 */

/** Weights of one version, or an adapter of it. */
struct orderplan_item
{
  char model[DECLARATION_NAME_MAX];
  char version[DECLARATION_NAME_MAX];
  char adapter[DECLARATION_NAME_MAX]; /**< "" for none */
  uint64_t revision; /**< of the declarations that it follows from */
  bool current;      /**< New requests use it. */
  bool upcoming;     /**< They are about to. */
};

struct orderplan
{
  uint64_t revision; /**< of the configuration */
  GArray *items;     /**< current ones first; versions before adapters */
};

void orderplan_init (struct orderplan *plan);
void orderplan_finish (struct orderplan *plan);

/** Make PLAN what CONFIG declares for the engines of SERVICE. */
void orderplan_read (struct orderplan *plan, const struct config *config,
                     const char *service);

/** An array of items for the versions that LOAD reports; the caller frees it
 * with g_array_unref. */
GArray *orderplan_reported (const struct engine_load *load);

/** Whether A and B are the same weights. */
bool orderplan_equal (const struct orderplan_item *a,
                      const struct orderplan_item *b);

/** Whether ITEMS holds the weights of ITEM. */
bool orderplan_has (const GArray *items, const struct orderplan_item *item);

/** The first item to be loaded that REPORTED lacks, or NULL. */
const struct orderplan_item *orderplan_missing (const struct orderplan *plan,
                                                const GArray *reported);

/** The first item of REPORTED that is declared no more, while the current
 * version of its model is reported too; else NULL. Models that PLAN does not
 * know are left alone. */
const struct orderplan_item *orderplan_unwanted (const struct orderplan *plan,
                                                 const GArray *reported);

#endif
