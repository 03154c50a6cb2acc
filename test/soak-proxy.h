#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "list.h"
#include "soak.h"

/** @file
 * A TCP proxy on loopback that spoils the connections that pass it.
 */

enum soak_proxy_mode
{
  SOAK_PROXY_PASS,
  SOAK_PROXY_DELAY,   /**< Bytes are passed on late. */
  SOAK_PROXY_SILENT,  /**< Bytes are dropped both ways. */
  SOAK_PROXY_ONE_WAY, /**< What the target answers is dropped. */
  SOAK_PROXY_RESET,   /**< Connections are reset. */
  SOAK_PROXY_MODES
};

struct soak_proxy
{
  struct soak *soak;
  uv_tcp_t listener;
  uint16_t target;
  enum soak_proxy_mode mode;
  unsigned delay_ms; /**< with SOAK_PROXY_DELAY */
  struct list pairs;
};

const char *soak_proxy_mode_name (enum soak_proxy_mode mode);

/** Pass connections to PORT on to TARGET, both at SOAK_IP. */
void soak_proxy_init (struct soak_proxy *proxy, struct soak *soak,
                      uint16_t port, uint16_t target);
void soak_proxy_finish (struct soak_proxy *proxy);

/** Connections that lost bytes are reset when MODE is another one again. */
void soak_proxy_set_mode (struct soak_proxy *proxy, enum soak_proxy_mode mode);

#endif
