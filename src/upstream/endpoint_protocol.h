// The endpoints' wire form: writes the requests of calls and health checks, and reads what the answers mean.
// Headers, status codes and states of the protocol page stand here and nowhere else.
#pragma once

#include <netinet/in.h>

#include <string>
#include <unordered_map>
#include <vector>

#include "net/http.h"
#include "opalroute/events.h"

namespace opalroute::endpoint_protocol {

// One request as it goes on the wire.
struct OutgoingRequest {
  std::string id;
  std::string key;  // idempotency key; empty: none
  std::string body;
};

// `remaining_ms`: what is left of the time of the call, in milliseconds, 1 or more.
std::string WriteCall(const sockaddr_in& to, const OutgoingRequest& request, long remaining_ms);
// Several requests in one call.
std::string WriteBatchCall(const sockaddr_in& to, const std::vector<const OutgoingRequest*>& requests,
                           long remaining_ms);
std::string WriteHealthCheck(const sockaddr_in& to);

// What an answer, or one entry of a batch answer, says of an attempt.
struct AttemptResult {
  Outcome outcome{};
  bool request_ended = false;  // whatever the outcome: nothing more is owed for the request
};

// Of the whole call. Not for status 200 of a batch, whose entries have results of their own.
AttemptResult ResultOf(const sockaddr_in& from, const net::HttpMessage& answer);

// States by request id; an answer that can't be read gives none, and a log line.
using BatchStates = std::unordered_map<std::string, std::string>;
BatchStates ReadBatchStates(const sockaddr_in& from, const net::HttpMessage& answer);
// `state`: of one entry; empty: the answer does not name the request, which may have run.
AttemptResult ResultOfState(const std::string& state);

Outcome HealthCheckOutcomeOf(const net::HttpMessage& answer);

// Seconds; 0: the answer states none.
Seconds RetryAfterOf(const net::HttpMessage& answer);
// A report that can't be read as a whole is ignored as a whole.
LoadReport LoadReportOf(const net::HttpMessage& answer);

}  // namespace opalroute::endpoint_protocol
