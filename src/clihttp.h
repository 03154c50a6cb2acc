#ifndef CLIHTTP_H
#define CLIHTTP_H

#include "cli.h"
#include "httpclient.h"

/** @file
 * How the command-line tool reaches a gateway: one call at a time.
 */

struct clihttp
{
  uv_loop_t loop;
  struct httpclient client;
};

extern const struct cli_ops clihttp_ops;

/** To be set as the context of a struct cli with clihttp_ops. */
void clihttp_init (struct clihttp *http);

#endif
