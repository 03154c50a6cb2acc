#ifndef PRIORITY_H
#define PRIORITY_H

/** @file
 * The priority classes of requests, the most urgent first.
 */

enum priority
{
  PRIORITY_URGENT,
  PRIORITY_STANDARD,
  PRIORITY_BULK,
  PRIORITY_COUNT
};

#endif
