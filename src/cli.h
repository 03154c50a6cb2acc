#ifndef CLI_H
#define CLI_H

#include "status.h"

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

/** @file
 * The operators' command-line tool. The calls to a gateway and the clock are
 * behind struct cli_ops, which clihttp.h implements.
 */

/** Exit status of the program. */
enum cli_exit_status
{
  CLI_OK = 0,
  CLI_USAGE = 1,   /**< The command line is wrong or a file unreadable. */
  CLI_REFUSED = 2, /**< Refused as a whole; nothing changed. */
  CLI_PARTLY_REFUSED = 3, /**< Some rows are refused, the others are valid. */
  CLI_UNAVAILABLE = 4,    /**< No response and nothing changed; try later. */
  CLI_UNKNOWN = 5,      /**< The outcome is unknown; run the command again. */
  CLI_NOT_IN_FORCE = 6, /**< Stored, but not in force everywhere in time. */
  CLI_DENIED = 7        /**< The operator key is wrong. */
};

/** A gateway's response. */
struct cli_response
{
  /** STATUS_OK: a response arrived, whatever its HTTP status.
   * STATUS_UNAVAILABLE: the request was not sent. STATUS_UNKNOWN: the gateway
   * may have executed the request. */
  enum status status;
  int http_status;
  char *body; /**< NUL-terminated; the caller frees it with g_free. */
};

struct cli;
struct json_object;

struct cli_ops
{
  /** Send a request to ADDRESS and wait for the response. BODY may be NULL. */
  void (*call) (struct cli *cli, const char *address, const char *method,
                const char *path, const char *body,
                struct cli_response *response);
  /** Monotonic time. */
  uint64_t (*now_ms) (struct cli *cli);
  void (*sleep) (struct cli *cli, unsigned ms);
};

/** Options and output streams of one run of the program. */
struct cli
{
  const struct cli_ops *ops;
  void *context; /**< Belongs to the implementation of the ops. */
  FILE *out;
  FILE *err;

  char **gateways;    /**< Each an "IP:PORT"; they are tried in order. */
  char *operator_key; /**< May be NULL. */
  char *key_file;
  char *operator_name;
  gboolean json;
  gboolean wait; /**< Wait until the revision is in force everywhere. */
  gint timeout_s;
  gint64 from_revision;
  gint64 to_revision;
  char **arguments;
};

typedef enum cli_exit_status (*cli_command) (struct cli *cli);

/** Run the command in ARGV. The caller sets ops, context, out and err. */
enum cli_exit_status cli_run (struct cli *cli, int argc, char **argv);

/** Send a request to the gateways in order until one responds. An error is
 * printed on the error stream.
 * @param response_body receives the body if CLI_OK is returned; the caller
 * frees it with g_free */
enum cli_exit_status cli_call (struct cli *cli, const char *method,
                               const char *path, const char *body,
                               char **response_body);

/** Like cli_call, for a response that has to be a JSON object.
 * @param object receives the object if CLI_OK is returned; the caller releases
 * it with json_object_put */
enum cli_exit_status cli_call_json (struct cli *cli, const char *method,
                                    const char *path, const char *body,
                                    struct json_object **object);

/* One function for each command of the tool. */

enum cli_exit_status cli_sheet_check (struct cli *cli);
enum cli_exit_status cli_sheet_plan (struct cli *cli);
enum cli_exit_status cli_sheet_apply (struct cli *cli);
enum cli_exit_status cli_sheet_export (struct cli *cli);
enum cli_exit_status cli_sheet_status (struct cli *cli);
enum cli_exit_status cli_config_history (struct cli *cli);
enum cli_exit_status cli_config_diff (struct cli *cli);
enum cli_exit_status cli_status (struct cli *cli);
enum cli_exit_status cli_drain (struct cli *cli);
enum cli_exit_status cli_undrain (struct cli *cli);
enum cli_exit_status cli_key_new (struct cli *cli);
enum cli_exit_status cli_trace (struct cli *cli);
enum cli_exit_status cli_check_log (struct cli *cli);

#endif
