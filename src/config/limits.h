// Every size, count and time that bounds the relay; filled once at the start and handed down.
#pragma once

#include <cstddef>

namespace opalroute {

struct Limits {
  // HTTP messages
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t header_count = 64;
  std::size_t body_bytes = std::size_t{64} * 1024;
  std::size_t list_bytes = std::size_t{4} * 1024 * 1024;  // discovery's whole list, and a line of its watch
  std::size_t name_bytes = 256;                           // an id or a key that a client states
  // connections
  int client_connections = 480;
  int reject_connections = 32;  // beyond those: they hear a reject
  int upstream_connections = 400;
  double first_time = 2;        // from a client's connecting to the end of its first request
  double request_time = 2;      // for a further one that has begun to arrive
  double client_idle = 10;      // a client's connection between requests
  double client_rest = 0.5;     // the same where more than half of the table is taken
  double client_silent = 0.05;  // without a byte since it came: so may it after this
  double client_linger = 0.5;   // after the last answer, for the client to read it
  std::size_t linger_bytes = std::size_t{1024} * 1024;  // read off meanwhile
  int requests_a_turn = 16;                             // of one connection
  int interim_answers = 8;                              // 1xx in front of an endpoint's answer
  double answer_rest = 0.05;                            // for the rest of an answer whose first line says all
  double answer_time = 0.5;                             // from an answer's first byte to its last
  double connect_time = 1.5;
  double upstream_idle = 14;  // less than the time after which endpoints close it
  // transactions
  int open_transactions = 0;  // from the settings
  double reject_wait = 0.5;   // told to a client that finds the relay full or going
  double longest_remaining = 3600;
  double destination_rest = 60;  // without an endpoint, until it counts as none that there is
  // the state folder
  std::size_t disk_bytes = 3'000'000;
  // discovery and notices
  double watch_heartbeat = 2;         // a watch in order brings a line at least so often
  double watch_silence = 3.5;         // without a line: then the watch is dead
  double list_time = 3;               // for the first line of a watch
  std::size_t watch_tries = 3;        // watches open at once, the one that has brought the list among them
  double list_renumbered_after = 30;  // whole lists from before what was told: then discovery counts anew
  double notice_time = 0.2;  // for the answer to notices, before a further try begins beside it; in all ...
  double notice_time_most = 1;       // ... this, which is also the time for a connection to come up
  std::size_t notice_tries = 3;      // out at once
  double notice_backoff = 0.05;      // after a failure; after ten in a row doubled with each ...
  double notice_backoff_most = 0.5;  // ... up to this
  std::size_t notice_lines = 64;     // in one request
  // between relays
  std::size_t datagram_bytes = 256;
  double tier_kept = 120;  // seconds that a zone's stage in the state folder is good for
  // learning from running instances
  int learn_sessions = 4;                           // learners served at once
  double learn_session = 5;                         // seconds that one of them may take
  std::size_t learn_lanes = 50'000;                 // kept of what donors tell, of each start
  std::size_t learn_bytes = std::size_t{16} << 20;  // read from one donor
  double learn_pending = 10;  // seconds that beliefs wait for the pool to name their endpoints
  std::size_t learn_file_bytes =
      std::size_t{64} * 1024;     // in the state folder, together with the one that takes its place
  double learn_file_every = 0.5;  // seconds between two savings
  int learn_note_peers = 2;       // asked by datagrams ...
  int learn_note_answers = 4;     // ... of which each sends so many at most
  double learn_note_time = 2;     // seconds after the question that answers are taken
  // name servers
  int dns_tries = 4;                         // of a question, over all servers
  std::size_t dns_flights = 64;              // questions under way at once
  unsigned short dns_datagram_asked = 1232;  // the longest answer asked for in one datagram (EDNS0)
  std::size_t dns_datagram_bytes = 4096;     // and the longest that is taken
  std::size_t dns_tcp_bytes = std::size_t{128} * 1024;  // a connection's buffer, each way
  double dns_tcp_rest = 5;                              // a connection without a question is kept for so long
  double dns_least_lifetime = 1;                        // of an answer; a shorter one counts as this ...
  double dns_most_lifetime = 3600;                      // ... and a longer one as this
  double dns_negative_lifetime = 60;                    // the longest of 'no such name' and 'no such record'
  double dns_stale = 3600;           // an answer is good for so long after its lifetime if servers fail
  double dns_retry = 5;              // after a question that no server has answered ...
  double dns_retry_rate = 40;        // ... and so many of them a second at most
  std::size_t dns_entries = 50'000;  // answers kept
  // operators' questions
  int admin_connections = 4;
  std::size_t admin_bytes = std::size_t{16} << 20;  // of an answer
  // the operators' door
  int door_connections = 32;
  double door_time = 0.25;  // from a caller's connecting to the end of its call: half-open ones make room
  double door_linger = 0.05;
  std::size_t door_answer_bytes = std::size_t{64} * 1024;
  std::size_t ids_remembered = 50'000;             // of endpoints that were listed once
  std::size_t ban_bytes = std::size_t{16} * 1024;  // of the file of endpoints taken out by hand
  std::size_t shared_waits = 512;                  // told waits kept for the other process, 24 bytes each
  double state_poll = 0.05;  // seconds between two looks at what another process has written
  // the end
  double stop_take_on = 0.45;  // after SIGTERM: new work is still taken on for so long
  double stop_time = 3.45;     // and the process has ended after this
};

}  // namespace opalroute
