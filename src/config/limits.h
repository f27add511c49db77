// Sizes, counts and times that bound the relay. Filled once at the start. Times are in seconds.
#pragma once

#include <cstddef>

namespace opalroute {

// Shares of the memory that buffers of variable size may hold, in bytes (net/memory_budget.h).
struct MemoryLimits {
  std::size_t clients = 0;
  std::size_t requests = 0;
  std::size_t endpoints = 0;
  std::size_t discovery = 0;
  std::size_t operators = 0;
};

struct Limits {
  // HTTP messages
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t header_count = 64;
  std::size_t body_bytes = std::size_t{64} * 1024;
  std::size_t endpoint_list_bytes = std::size_t{4} * 1024 * 1024;  // also of one update of a watch
  std::size_t identifier_bytes = 256;                              // of a request id or an idempotency key
  // Connections of clients, and to endpoints ("upstream")
  int client_connections = 480;
  std::size_t client_socket_send_bytes = std::size_t{16} * 1024;
  int reject_connections = 32;  // beyond those, accepted only to be answered with a reject
  int upstream_connections = 400;
  double first_request_timeout = 2;          // from accepting a connection to the end of its first request
  double request_timeout = 2;                // from the start of a later request to its end
  double client_idle_timeout = 10;           // between requests
  double client_crowded_idle_timeout = 0.5;  // the same, while more than half of the connections are in use
  // Once all connections are in use, one that has sent no request for this long since it was accepted may be
  // closed to make room.
  double client_silent_timeout = 0.05;
  // The same for one whose request makes progress, but has not ended so long after its first byte.
  double client_slow_request_time = 0.25;
  double client_linger_timeout = 0.5;  // after the last response, for the client to read it
  std::size_t client_linger_bytes = std::size_t{1024} * 1024;  // input discarded in that time
  int requests_per_turn = 16;                    // of one connection, before other connections are served
  int interim_responses = 8;                     // 1xx responses before the final one of an endpoint
  double upstream_response_timeout = 0.5;        // from the first byte of a response to its last
  double upstream_response_rest_timeout = 0.05;  // for the rest of a response whose status suffices
  double upstream_connect_timeout = 1.5;
  double upstream_idle_timeout = 14;  // shorter than that of the endpoints, so that the relay closes first
  // An outcome that rests on a response on a reused connection is confirmed at the timeout that was stated to
  // the endpoint, but not sooner or later than this after the response.
  double min_confirmation_time = 0.25;
  double max_confirmation_time = 1;
  // After a response that belonged to no call, connections are not reused for this long: those to the
  // endpoint that sent it, and those to all endpoints.
  double endpoint_reuse_suspension = 600;
  double reuse_suspension = 60;
  // The same for an endpoint with an outcome that has come into doubt otherwise.
  double doubt_reuse_suspension = 5;
  // Memory
  MemoryLimits memory;            // set from the memory that the process may use
  bool memory_is_scarce = false;  // it may use less than the program and its files need
  // Requests
  int open_requests = 0;            // set from Settings::request_capacity
  double reject_retry_after = 0.5;  // the Retry-After of a request or connection rejected on arrival
  double max_remaining_time = 3600;
  // A destination that has lost its last endpoint is still accepted for this long.
  double empty_destination_grace_period = 60;
  // An ended request that may have run is remembered until its deadline, and for at least this long: its
  // client may hand it in again.
  double min_remembered_time = 5;
  // State folder
  std::size_t disk_bytes = 3'000'000;
  std::size_t remembered_requests = 3750;  // by each of two processes; set from disk_bytes
  // Discovery and notifications
  double watch_heartbeat_interval = 2;   // a working watch delivers a line at least this often
  double watch_silence_timeout = 3.5;    // without a line for this long, a watch has failed
  double platform_response_timeout = 3;  // for the first line of a watch, and for a response to notifications
  std::size_t concurrent_watches = 3;    // including the one that has delivered the current list
  // If complete lists have been older than the newest one for this long, discovery is assumed to have
  // restarted its generation numbers.
  double generation_restart_timeout = 30;
  // If an attempt has no response for this long, another one starts in parallel.
  double notification_attempt_interval = 0.2;
  double notification_attempt_timeout = 1;  // also for the connection to be established
  std::size_t concurrent_notification_attempts = 3;
  // After a failure; from the eleventh consecutive failure on it doubles with each, up to the maximum.
  double notification_min_backoff = 0.05;
  double notification_max_backoff = 0.5;
  std::size_t notifications_per_request = 64;
  // Fleet
  std::size_t peer_datagram_bytes = 256;
  double zone_state_max_age = 120;  // an older evacuation state in the state folder is not used
  // State transfer
  int snapshot_sessions = 4;                           // relays served a snapshot at once
  double snapshot_session_timeout = 5;                 // for one of them
  std::size_t snapshot_routes = 50'000;                // route states per snapshot, and in any buffer of them
  std::size_t snapshot_bytes = std::size_t{16} << 20;  // read from one relay
  double pending_routes_lifetime = 10;  // route states wait this long for the list to name their endpoints
  std::size_t snapshot_file_bytes = std::size_t{64} * 1024;  // in the state folder, with its replacement
  double snapshot_save_interval = 0.5;
  int transfer_datagram_peers = 2;       // asked by datagrams at the start ...
  int transfer_datagram_answers = 4;     // ... of which each sends at most this many datagrams
  double transfer_datagram_timeout = 2;  // answers are accepted for this long after the request
  // DNS
  int dns_attempts = 4;  // of a question, over all servers
  std::size_t dns_concurrent_lookups = 64;
  unsigned short dns_edns_udp_size = 1232;  // the longest datagram that servers are asked to send (EDNS0)
  std::size_t dns_datagram_bytes = 4096;    // the longest datagram that is accepted
  std::size_t dns_tcp_buffer_bytes = std::size_t{128} * 1024;  // of a connection, in each direction
  double dns_tcp_idle_timeout = 5;                             // of a connection without a pending query
  double dns_min_ttl = 1;                                      // a shorter TTL counts as this ...
  double dns_max_ttl = 3600;                                   // ... and a longer one as this
  double dns_max_negative_ttl = 60;  // the same for 'no such name' and 'no such record'
  double dns_max_stale = 3600;       // an answer may be used for this long after its TTL while servers fail
  double dns_retry_delay = 5;        // until a question that no server has answered is asked again ...
  double dns_retry_rate = 40;        // ... with at most this many such retries per second
  std::size_t dns_cache_entries = 50'000;
  // Admin pages
  int admin_connections = 4;
  std::size_t admin_response_bytes = std::size_t{16} << 20;
  // Operations server
  int ops_connections = 32;
  // From accepting a connection to the end of its request, so that half-open connections make room.
  double ops_request_timeout = 0.25;
  double ops_linger_timeout = 0.05;
  std::size_t ops_response_bytes = std::size_t{64} * 1024;
  std::size_t remembered_endpoint_ids = 50'000;               // of endpoints that were ever listed
  std::size_t suspended_file_bytes = std::size_t{16} * 1024;  // the file of suspended endpoints
  // Hot restart
  std::size_t shared_retry_afters = 512;  // Retry-Afters kept for the other process, 24 bytes each
  double state_poll_interval = 0.05;  // between reads of what another process has written to the state folder
  std::size_t saved_route_healths =
      1024;                         // routes kept for the next process, RouteHealthFile::kRecordBytes each
  int route_health_log_lines = 50;  // in a second, at most
  int unmatched_response_log_lines = 20;  // the same of lines on responses that belong to no call
  // The same of lines on requests that are over, are taken up again or must not be sent, of each kind.
  int request_log_lines = 20;
  // Shutdown, after SIGTERM
  double shutdown_accept_period = 0.45;  // new requests are still accepted
  double shutdown_timeout = 3.45;        // until the process ends
};

}  // namespace opalroute
