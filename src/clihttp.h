#ifndef CLIHTTP_H
#define CLIHTTP_H

#include "cli.h"
#include "httpclient.h"

/** @file
 * Implements struct cli_ops over HTTP, with one call at a time.
 */

struct clihttp
{
  uv_loop_t loop;
  struct httpclient client;
};

extern const struct cli_ops clihttp_ops;

/** Initialise HTTP. The caller sets it as the context of a struct cli that
 * uses clihttp_ops. */
void clihttp_init (struct clihttp *http);

#endif
