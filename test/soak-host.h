#ifndef SOAK_HOST_H
#define SOAK_HOST_H

#include "soak.h"

/** @file
 * One entry process of the product, started, stopped and spoilt from outside.
 */

struct soak_host
{
  struct soak *soak;
  const char *program;
  char *folder; /**< of its settings and its log */
  unsigned number;
  uint16_t store_port;
  uint16_t front_port;
  uint16_t ports[4]; /**< directory, ready, peer, metrics */
  uv_process_t process;
  bool running;
  bool stopped;      /**< by SIGSTOP */
  bool ending;       /**< Its end was asked for. */
  bool no_more;      /**< It is not started again. */
  int64_t start_ns;  /**< when it is started again */
  int64_t kill_ns;   /**< a planned stop that takes too long; 0: none */
  int64_t resume_ns; /**< end of a pause; 0: none */
  unsigned settings_number;
  unsigned starts;
};

/** @param program path of the daemon */
void soak_host_init (struct soak_host *host, struct soak *soak,
                     unsigned number, const char *program, const char *folder,
                     uint16_t store_port);

/** Start, wake or end it when it is due. */
void soak_host_tick (struct soak_host *host);

void soak_host_kill (struct soak_host *host);
void soak_host_stop (struct soak_host *host); /**< as planned work does */
void soak_host_pause (struct soak_host *host, unsigned ms);
/** Change its settings file. */
void soak_host_reload (struct soak_host *host, bool with_signal);

/** Check by its log that the configuration VERSION is in force. */
void soak_host_check_config (const struct soak_host *host, unsigned version);

/** End it for good. */
void soak_host_finish (struct soak_host *host);

/** A port of SOAK_IP that no other program gets until this one ends. */
uint16_t soak_port_find (void);

#endif
