#ifndef ORDERPLAN_H
#define ORDERPLAN_H

#include "config.h"
#include "engine.h"

/** @file
 * Compares the weight versions and adapters that the engines of a service
 * should have loaded with those that one engine reports.
 *
 * Engines load the current version of each model, with its adapters, and then
 * each version that was declared after the model row was last changed: such a
 * version is about to become current, and once it is loaded new requests can
 * switch to it without a delay. Other declared versions may stay loaded;
 * versions that are no longer declared are unloaded.
 */

/** The weights of one version, or one adapter for it. */
struct orderplan_item
{
  char model[DECLARATION_NAME_MAX];
  char version[DECLARATION_NAME_MAX];
  char adapter[DECLARATION_NAME_MAX]; /**< Adapter, or "" for the weights of
                                         the version itself. */
  uint64_t revision; /**< Latest revision of the declarations that the item
                        derives from. */
  bool current;      /**< Whether new requests use this version. */
  bool upcoming;     /**< Whether this version is about to become current. */
};

struct orderplan
{
  uint64_t revision; /**< Revision of the configuration. */
  GArray *items;     /**< Array of struct orderplan_item: current items come
                        first, and versions come before adapters. */
};

void orderplan_init (struct orderplan *plan);
void orderplan_finish (struct orderplan *plan);

/** Fill PLAN with the declarations of CONFIG for the engines of SERVICE. */
void orderplan_build (struct orderplan *plan, const struct config *config,
                      const char *service);

/** @return an array of struct orderplan_item for the versions that LOAD
 * reports; the caller frees it with g_array_unref. */
GArray *orderplan_from_report (const struct engine_load *load);

/** Whether A and B name the same model, version and adapter. */
bool orderplan_item_equal (const struct orderplan_item *a,
                           const struct orderplan_item *b);

/** Whether ITEMS contains an item that is equal to ITEM. */
bool orderplan_contains (const GArray *items,
                         const struct orderplan_item *item);

/** @return the first current or upcoming item that is not in REPORTED, or
 * NULL. */
const struct orderplan_item *
orderplan_first_missing (const struct orderplan *plan, const GArray *reported);

/** @return the first item of REPORTED that is no longer declared, provided
 * that the current version of its model is in REPORTED too; else NULL. Items
 * of models that PLAN doesn't contain are never returned. */
const struct orderplan_item *
orderplan_first_unwanted (const struct orderplan *plan,
                          const GArray *reported);

#endif
