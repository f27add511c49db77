// Counters of the relay since the start of the process. Operators' tools read the keys that ToJson writes, so
// they must not change.
#pragma once

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/server_limit.h"

namespace opalroute {

struct Counters {
  // Requests from clients; recovered: from the journal after a restart; lost_responses: the client
  // disconnected before it had the whole response; aborted: the request was dropped for that.
  long requests = 0, accepted = 0, recovered = 0;
  long bad_requests = 0, rejects_full = 0, rejects_disk = 0, rejects_stopping = 0, aborted = 0,
       lost_responses = 0;
  // Calls and attempts; withheld: not sent once there was a connection, as sending was no longer allowed.
  long calls = 0, attempts = 0, health_checks = 0, withheld = 0;
  // Outcomes of attempts
  long served = 0, errors = 0, rejections = 0, timeouts = 0, connect_failed = 0, resets = 0, cancelled = 0,
       not_sent = 0, out_of_connections = 0;
  // Outcomes of requests
  long delivered = 0, failed = 0, rejected_after_accept = 0, notifications_acknowledged = 0;
  long list_updates = 0, watch_failures = 0, journal_failures = 0, reloads = 0, reload_failures = 0;
  // Health of routes; recovered: taken over from an earlier process.
  long suspected_outages = 0, slow_starts = 0, recovered_route_healths = 0;
  // Responses of endpoints for which no call was in flight on their connection.
  long unmatched_responses = 0;
  // Outcomes put in doubt by them, and how often the reuse of connections was suspended.
  long doubted_outcomes = 0, reuse_suspensions = 0;
  // Requests that were over by the response of an endpoint; that were taken up again as their end had come
  // into doubt; and attempts that were not sent as their request had ended.
  long requests_over = 0, reopened = 0, attempts_held_back = 0;
  long endpoints = 0;         // in the endpoint table now
  long requests_written = 0;  // to endpoints, up to the last byte

  // Clients' requests and connections that a limit has ended, by net::ServerLimit.
  std::array<long, net::kServerLimits> client_limits{};

  struct ClassCounters {
    long delivered = 0;
    long rejected = 0;  // on arrival or after they were accepted
    long failed = 0;
  };
  std::vector<ClassCounters> classes;  // in the settings' order

  void CountDelivered(int request_class) { ++delivered, ++ForClass(request_class).delivered; }
  // A request that was counted is not delivered after all.
  void UncountDelivered(int request_class) { --delivered, --ForClass(request_class).delivered; }
  ClassCounters& ForClass(int request_class) {
    const bool known = request_class >= 0 && request_class < static_cast<int>(classes.size());
    return known ? classes[static_cast<std::size_t>(request_class)] : unknown_class_;
  }

  nlohmann::ordered_json ToJson() const {
    nlohmann::ordered_json limits;
    for (std::size_t i = 0; i < client_limits.size(); ++i)
      limits[net::NameOf(static_cast<net::ServerLimit>(i))] = client_limits[i];
    return {{"requests", requests},
            {"taken_on", accepted},
            {"restored", recovered},
            {"bad_requests", bad_requests},
            {"rejects_full", rejects_full},
            {"rejects_disk", rejects_disk},
            {"rejects_stopping", rejects_stopping},
            {"withdrawn", aborted},
            {"lost_responses", lost_responses},
            {"calls", calls},
            {"attempts", attempts},
            {"probes", health_checks},
            {"not_left", withheld},
            {"served", served},
            {"errors", errors},
            {"full", rejections},
            {"timeouts", timeouts},
            {"connect_failed", connect_failed},
            {"resets", resets},
            {"cancelled", cancelled},
            {"not_sent", not_sent},
            {"crowded", out_of_connections},
            {"delivered", delivered},
            {"given_up", failed},
            {"handed_back", rejected_after_accept},
            {"notices_arrived", notifications_acknowledged},
            {"pool_news", list_updates},
            {"pool_failures", watch_failures},
            {"journal_failures", journal_failures},
            {"reloads", reloads},
            {"reload_failures", reload_failures},
            {"suspected_outages", suspected_outages},
            {"slow_starts", slow_starts},
            {"recovered_route_healths", recovered_route_healths},
            {"unmatched_responses", unmatched_responses},
            {"doubted_outcomes", doubted_outcomes},
            {"reuse_suspensions", reuse_suspensions},
            {"requests_over", requests_over},
            {"reopened", reopened},
            {"attempts_held_back", attempts_held_back},
            {"client_limits", limits},
            {"endpoints", endpoints}};
  }
  std::string ToJsonText() const { return ToJson().dump(); }

 private:
  ClassCounters unknown_class_;  // of recovered requests whose class is no longer in the settings
};

}  // namespace opalroute
