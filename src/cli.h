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
  CLI_USAGE = 1, /**< The command line is wrong or a file is unreadable. */
  /** The command failed or was refused as a whole; nothing changed. */
  CLI_REFUSED = 2,
  /** Some rows were refused; the others were applied or, in a check or plan,
   * are valid. */
  CLI_PARTLY_REFUSED = 3,
  /** No gateway is available and nothing changed; try later. */
  CLI_UNAVAILABLE = 4,
  /** The change may have been made; run the same command again. */
  CLI_UNKNOWN = 5,
  /** The revision is stored, but was not in force in every process within the
   * timeout. */
  CLI_NOT_IN_FORCE = 6,
  CLI_DENIED = 7 /**< The operator key is wrong. */
};

/** Result of a request to a gateway. */
struct cli_response
{
  /** STATUS_OK: a response arrived, whatever its HTTP status.
   * STATUS_UNAVAILABLE: the request was not sent. STATUS_UNKNOWN: the gateway
   * may have executed the request. */
  enum status status;
  int http_status;
  char *body; /**< NUL-terminated body; the caller frees it with g_free. */
};

struct cli;
struct json_object;

struct cli_ops
{
  /** Send a request to ADDRESS and wait for the response. BODY may be NULL. */
  void (*call) (struct cli *cli, const char *address, const char *method,
                const char *path, const char *body,
                struct cli_response *response);
  /** Return the monotonic time. */
  uint64_t (*now_ms) (struct cli *cli);
  void (*sleep) (struct cli *cli, unsigned ms);
};

/** Options of the command "explain". */
struct cli_explain
{
  char *entry; /**< Address "IP:PORT" of an entry host's metrics listener. */
  char *file;  /**< File with the request, "-" for standard input. */
  char *host;
  char *path;
  char *organisation;
  char *service;
  char *model;
  gint64 prompt_tokens; /**< Negative if not given, like the next two. */
  gint64 output_tokens;
  gint64 time_left_ms;
  char **blocks; /**< Each "ID:TOKENS". */
};

/** Options and output streams of one run of the program. */
struct cli
{
  const struct cli_ops *ops;
  void *context; /**< Data of the implementation of the ops. */
  FILE *out;
  FILE *err;

  char **gateways;    /**< Addresses "IP:PORT", tried in order. */
  char *operator_key; /**< Key sent to the gateway; may be NULL. */
  char *key_file;
  char *operator_name;
  gboolean json;
  gboolean wait; /**< Whether to wait until the revision is in force. */
  gint timeout_s;
  gint64 from_revision;
  gint64 to_revision;
  char **arguments;
  struct cli_explain explain;
};

typedef enum cli_exit_status (*cli_command) (struct cli *cli);

/** Run the command that ARGV names. The caller sets ops, context, out and err.
 */
enum cli_exit_status cli_run (struct cli *cli, int argc, char **argv);

/** Send a request to the gateways in order until one responds. An error is
 * printed on the error stream.
 * @param response_body Receives the body if CLI_OK is returned; the caller
 * frees it with g_free. */
enum cli_exit_status cli_call (struct cli *cli, const char *method,
                               const char *path, const char *body,
                               char **response_body);

/** Like cli_call, for a response that has to be a JSON object.
 * @param object Receives the object if CLI_OK is returned; the caller releases
 * it with json_object_put. */
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
enum cli_exit_status cli_explain (struct cli *cli);

/** Add the options of the command "explain" to CONTEXT, and set their
 * defaults. */
void cli_explain_add_options (struct cli *cli, GOptionContext *context);
void cli_explain_free_options (struct cli *cli);

#endif
