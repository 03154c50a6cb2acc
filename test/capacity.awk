# Slopes times the size designed for. How the fleet is cut into roles, the
# pieces of a prompt and the share of calls that may run only once are
# assumptions.
{ v[$1] = $2 }
function row(what, state, messages, core, memory, kv, by) {
  printf "| %s | %s | %s | %s | %s | %s | %s |\n", what, state, messages, core, memory, kv, by
}
function pc(share) { return sprintf("%.3f%%", share * 100) }
function kb(bytes) { return sprintf("%.0f KB", bytes / 1000) }
function num(n) { return sprintf("%.0f", n) }
function heading(role) {
  printf "\n%s:\n\n", role
  print "| part | state | messages/s | of a core | memory | KV calls/s | carried by |"
  print "| --- | --- | --- | --- | --- | --- | --- |"
}
END {
  gateways = 1900; shards = 300; engines = 10000; requests = 45000
  tokens = 22000000; prompts = 1300000; pieces = 16; organisations = 2400
  once = requests / 100; subset = 16; changes = 41000 / 86400
  ns = 1e-9
  rate = requests / gateways
  queries = subset * 5
  shard_engine = (v["shard_cpu_us_440"] - v["shard_cpu_us_40"]) / 400 * 1e-6
  gateway_engine = (v["gateway_cpu_us_440"] - v["gateway_cpu_us_40"]) / 400 * 1e-6
  host_read = engines * v["host_read_ns"] * ns
  config_core = v["config_core"] / 100
  entries = prompts * pieces / shards

  heading("Each of " gateways " gateways")
  row("streams", num(tokens / gateways) " pieces/s", num(tokens / gateways), pc(tokens / gateways / v["path_pieces_per_s"]), num(v["gateway_kb_500_streams"] / 1000) " MB at 500 streams", "0", "relay, one pass over each piece")
  row("requests", sprintf("%.1f", rate) "/s", sprintf("%.0f", rate * 8), pc(rate * (pieces * v["chain_piece_ns"] + v["place_ns"] + v["admit_request_ns"]) * ns), kb(organisations * v["admit_organisation_bytes"]), "0", "sampled candidates, fair queue, keyed chain")
  row("load view", subset " engines", num(queries * 2), pc(queries * v["load_report_ns"] * ns), kb(subset * v["load_engine_bytes"]), "0", "subset by rendezvous hashing")
  row("membership", "2,200 rows", v["member_messages"], v["member_core"] "%", v["member_kb"] " KB", "0", "gossip, " num(v["member_bytes"]) " B/s, at most " num(v["member_bytes_max"]))
  row("configuration", organisations " organisations", sprintf("%.2f", changes), pc(config_core + changes * organisations * v["admit_set_ns"] * ns), v["config_mb"] " MB", "24 in all", "two watchers a data centre, deltas of " num(v["delta_bytes"]) " bytes")
  row("host list", engines " hosts", "1", pc(host_read + 3 * engines * v["host_find_ns"] * ns), kb(engines * v["host_bytes"]), "0", "flat poll: does not reach")

  heading("Each of " shards " shards")
  row("engine watch", sprintf("%.1f", engines / shards) " engines", num(engines / shards * 10), pc(engines / shards * shard_engine), kb(engines / shards * v["load_engine_bytes"]), "0", "each engine polled by one shard")
  row("load queries", "-", num(gateways * queries / shards * 2), "not measured", "-", "0", "answers of " num(v["load_reply_bytes"]) " bytes: does not reach")
  row("block index", num(entries) " entries", num(requests / shards * 2), pc(requests / shards * v["lookup_ns"] * ns), sprintf("%.1f MB", entries * v["index_bytes"] / 1e6), "0", "one owner a prompt")
  row("at most once", num(once * 86400 / 64 / 1e3) "k records a partition", num(once / 64 * 4), "not measured", sprintf("%.0f MB a partition", once * 86400 / 64 * v["record_bytes"] / 1e6), sprintf("%.0f in all", once * v["grant_writes"] / 1000), "group commit: memory does not reach")
  row("ownership", "64 partitions", "0", "not measured", "-", sprintf("%.0f in all", shards / 5 + shards * 3 / 10), "one lease a shard")
  row("membership, configuration", "as a gateway", v["member_messages"], pc(v["member_core"] / 100 + config_core), v["config_mb"] " MB", "with gateways", "as above")
  row("host list", engines " hosts", "1", pc(host_read + engines * shards * v["roster_pass_ns"] * ns), kb(engines * v["host_bytes"]), "0", "flat poll: does not reach")
  printf "\nHost list: %.2f MB/s to each process. Load answers: %.1f KB/s in at a\ngateway, %.1f KB/s out at a shard. Store listings: %.1f M rows a minute to each\nshard. Last process after a change: %s s at 2,200 processes.\n", engines * v["host_json_bytes"] / 1e6, queries * v["load_reply_bytes"] / 1000, gateways * queries / shards * v["load_reply_bytes"] / 1000, prompts * pieces / 1e6, v["config_last_s"]
}
