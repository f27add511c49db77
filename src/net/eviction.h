// Which connection of a server ends first when another one, or its memory, is needed.
#pragma once

#include <cstddef>
#include <optional>

#include "net/clock.h"

namespace opalroute::net {

// What a connection is doing. Times are on the loop's clock.
struct ConnectionActivity {
  bool answered = false;          // it has had a response
  bool input_pending = false;     // a request of which nothing is parsed yet
  bool request_begun = false;     // and is not complete
  bool response_pending = false;  // written in part: the client does not read it
  bool lingering = false;         // the last response is written
  Seconds last_active = 0;        // of the last response, or else of the accept
  Seconds last_progress = 0;      // bytes of a request were last read then
  bool awaits_turn = false;       // it has sent several requests at once
  Seconds backlog_since = 0;      // if so
  Seconds request_started = 0;    // if a request has begun
  std::size_t held_bytes = 0;     // of memory
};

struct EvictionTimes {
  Seconds idle = 0;              // between requests, after which a connection goes first
  Seconds without_progress = 0;  // in which a regular client sends a request or reads a response
  Seconds slow_request = 0;      // from the start of a request that makes progress
};

// In the order in which connections end to make room for new ones.
enum class EvictionGroup {
  kIdle,            // long between requests
  kSilent,          // without a request since it was accepted
  kLingering,       // has its last response
  kStalledRequest,  // in the middle of a request, and sends nothing
  kUnreadResponse,  // does not read its response
  kSlowRequest,     // in the middle of a request, for long
  kBacklog,         // has more requests waiting than its turns answer
  kRecentlyIdle,    // shortly between requests
};

// The group of a connection, or nullopt if it may not end now.
std::optional<EvictionGroup> EvictionGroupOf(const ConnectionActivity& activity, const EvictionTimes& times,
                                             Seconds now);

// Within a group, the connection with the lowest value ends first.
Seconds EvictionOrder(EvictionGroup group, const ConnectionActivity& activity);

// Whether a connection that may not end now is likely to be one that may, within
// EvictionTimes::without_progress.
bool MayEndSoon(const ConnectionActivity& activity);

}  // namespace opalroute::net
