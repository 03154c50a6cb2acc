#ifndef SETTINGS_H
#define SETTINGS_H

#include "homes.h"
#include "priority.h"
#include "status.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** @file
 * The settings of one process, parsed from a JSON file with comments. The
 * table in settings-keys.c lists the keys, their meaning and the limits of
 * their values. Durations are stored in nanoseconds whatever unit the key has.
 */

enum
{
  /** Maximum size of a string in bytes, with the NUL. */
  SETTINGS_TEXT_MAX = 64,
  SETTINGS_IP_MAX = 46,   /**< Maximum size of an IP address, with the NUL. */
  SETTINGS_LIST_MAX = 32, /**< Maximum number of elements of an array. */
  SETTINGS_HASH_KEY_BYTES = 32, /**< Size of a hash or secret key, which the
                                   file gives in hexadecimal. */
  SETTINGS_FILE_BYTES_MAX = 1 << 20
};

enum settings_role
{
  ROLE_GATEWAY,
  ROLE_SHARD,
  ROLE_ENTRY /**< Receives callers' requests on the users' platform. */
};

/** An address "IP:PORT"; an IPv6 address is written in brackets. */
struct settings_address
{
  char text[SETTINGS_TEXT_MAX]; /**< Address as in the file; empty if not set.
                                 */
  char ip[SETTINGS_IP_MAX];     /**< IP address without brackets. */
  uint16_t port;
};

struct settings_addresses
{
  struct settings_address items[SETTINGS_LIST_MAX];
  unsigned count;
};

/** The limits of one priority class. */
struct settings_priority_class
{
  double weight;       /**< Weight of the class when capacity is divided among
                          the classes. */
  int64_t queue_limit; /**< Maximum number of waiting requests. */
};

struct settings
{
  struct
  {
    char name[SETTINGS_TEXT_MAX];
    int role; /**< Value of enum settings_role. */
    char data_centre[SETTINGS_TEXT_MAX];
    /** Region of the host; empty: that of its data centre in `places`. */
    char region[SETTINGS_TEXT_MAX];
  } process;
  struct
  {
    struct places regions; /**< Regions of the data centres. */
  } places;
  struct
  {
    /** Address where a gateway serves callers and operators, and a shard only
     * health and metrics. */
    struct settings_address http;
    /** Address for peers over TCP and for gossip over UDP. */
    struct settings_address peer;
    /** Address where callers get the addresses of the live hosts. */
    struct settings_address directory;
    /** Address for readiness checks of the platform. */
    struct settings_address ready;
    struct settings_address metrics;
  } listen;
  struct
  {
    struct settings_address http; /**< Default: listen.http. */
    struct settings_address peer; /**< Default: listen.peer. */
  } advertise;
  struct settings_addresses seeds;
  struct
  {
    struct settings_addresses address;
    int64_t timeout_ns;
    int64_t lease_ttl_ns;
    double calls_per_s;
  } kv;
  struct
  {
    struct settings_address address;
    int64_t poll_ns;
  } host_list;
  struct
  {
    int policy; /**< Value of enum settings_policy. */
    double price_per_recomputed_token_s;
    double price_per_link_byte_s;
    int64_t piece_tokens;
    int64_t piece_bytes_per_token;
    int64_t subset_size;
  } placement;
  struct
  {
    int64_t concurrency; /**< Maximum number of requests that this process runs
                            at once. */
    /** Maximum number of waiting requests of all classes. */
    int64_t queue_limit;
    int64_t organisation_queue_limit;
    /** Largest share of concurrency that one organisation may use. */
    double organisation_share;
    /** Share of concurrency that is reserved for urgent requests. */
    double urgent_share;
    struct settings_priority_class classes[PRIORITY_COUNT];
  } admission;
  struct
  {
    /* These limit the retries of a gateway. */
    /** Maximum number of retries per successful request. */
    double budget_share;
    int64_t backends_max; /**< Maximum number of backend servers tried per
                             request. */
    int64_t backoff_base_ns;
    int64_t backoff_max_ns;

    /* These limit the retries of an entry process, per service and sliding
     * window. */
    int64_t window_ns; /**< Length of the sliding window. */
    /** Maximum number of retries per window, shared by all hosts. */
    double allowance;
    /** Maximum number of retries per request received in the window, in
     * addition to ALLOWANCE. */
    double window_share;
  } retry;
  struct
  {
    int mode; /**< Value of enum forwardqueue_mode. */
    /** Maximum number of requests that wait for one service. */
    int64_t limit;
  } queue;
  struct
  {
    /** Time within which all engines load a new weight version. */
    int64_t within_ns;
    /** Share of a model's engines that load a weight version at once. */
    double share;
    /** Number of engines that may load at once even if SHARE amounts to fewer.
     */
    int64_t at_once;
    bool fenced; /**< Whether engines refuse orders of an earlier leader. */
  } weights;
  struct
  {
    double tokens_per_ms; /**< Rate at which an engine prefills a prompt. */
    bool use_stores; /**< Whether KV cache is saved to stores and fetched from
                        them. */
  } engines;
  struct
  {
    /** Time within which a server that leaves gets no more requests. */
    int64_t leave_ns;
    /** Interval at which servers renew their entries. */
    int64_t heartbeat_ns;
    /** Time within which an evacuated data centre gets no more requests. */
    int64_t evacuate_ns;
    /** Factor on the cold rate of a server, and requests within a second
     * beyond it, up to which a cold server is sure to stay up. */
    double cold_overage;
    double cold_tolerance;
  } servers;
  struct
  {
    /** BLAKE2b-256 hash of the operators' bearer key. If it is not set, it is
     * all zero, and operators are refused. */
    uint8_t hash[SETTINGS_HASH_KEY_BYTES];
  } operator_key;
  struct
  {
    /** Number of crashed backend servers after which a request is refused as a
     * poison request. */
    int64_t crashes;
    int64_t hold_ns; /**< Time during which a poison request is refused. */
    /** Whether a request that crashed one backend server may run once more,
     * alone on a backend server. */
    bool run_alone;
    /** Whether requests run while no shard can check whether they are poison
     * requests. */
    bool unchecked;
    /** Time in which a new owner of a partition receives the gateways'
     * reports of the requests that they run. Must be longer than gateways take
     * to detect the new owner. */
    int64_t grace_ns;
  } suspect;
  struct
  {
    int64_t connect_ns;
    int64_t first_byte_ns;
    int64_t progress_ns;
    int64_t header_ns;
    int64_t stop_ns;
  } timeouts;
  struct
  {
    /** Time during which a caller may use the addresses in a response to
     * /v1/entries. */
    int64_t lifetime_ns;
  } entries;
  struct
  {
    int64_t body_bytes;
    int64_t header_bytes;
  } limits;
  struct
  {
    int level; /**< Value of enum event_level. */
  } log;
  struct
  {
    bool enabled;
    /** Time after an export decision within which the reuse of the block
     * counts as a benefit. */
    int64_t horizon_ns;
    double link_share; /**< Maximum share of a store's network link that
                          exports may use. */
  } export;
  struct
  {
    /** Secret key of block ids and request fingerprints. */
    uint8_t hash_key[SETTINGS_HASH_KEY_BYTES];
  } blocks;
  struct
  {
    int64_t link_bytes_per_s; /**< Bandwidth of one store's network link. */
    int64_t read_lease_ns; /**< Time during which a block may be read after a
                              lookup. */
    /** Delay between marking a block for deletion and freeing it. */
    int64_t free_delay_ns;
    int64_t listing_ns; /**< Interval between two listings of all blocks of a
                            store. */
  } stores;
};

enum settings_policy
{
  POLICY_COST,
  POLICY_ROUND_ROBIN,
  POLICY_LEAST_LOADED,
  POLICY_PREFIX_AFFINITY
};

/** Parse and check settings from TEXT.
 * @param file_name name of the file for error messages
 * @return STATUS_OK or STATUS_INVALID, with file, line and key in ERROR. */
enum status settings_parse (struct settings *settings, const char *text,
                            const char *file_name, struct error *error);

/** Read, parse and check the settings file PATH.
 * @return as settings_parse, or STATUS_NOT_FOUND if PATH cannot be read. */
enum status settings_read_file (const char *path, struct settings *settings,
                                struct error *error);

/** Write the table of settings keys to OUT as Markdown. */
void settings_print_help (FILE *out);

#endif
