// The wire protocol of the endpoints: formats calls and health checks, and interprets the responses. Header
// names, status codes and batch states of this protocol are used only in this module.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/http.h"
#include "opalroute/events.h"

namespace opalroute::endpoint_protocol {

// The parts of a request that are sent to an endpoint.
struct OutgoingRequest {
  std::string id;
  std::string key;  // idempotency key, or empty
  std::string body;
};

// `remaining_ms`: remaining time of the call in milliseconds, at least 1.
std::string FormatCall(const sockaddr_in& to, const OutgoingRequest& request, long remaining_ms);
// Formats a call that carries several requests.
std::string FormatBatchCall(const sockaddr_in& to, const std::vector<const OutgoingRequest*>& requests,
                            long remaining_ms);
std::string FormatHealthCheck(const sockaddr_in& to);

// The result of an attempt according to a response or to one entry of a batch response.
struct AttemptResult {
  Outcome outcome{};
  bool request_ended = false;  // the request needs no further attempt, whatever the outcome
};

// The result of a whole call. Not for status 200 of a batch, where each entry has its own result.
AttemptResult ResultOf(const sockaddr_in& from, const net::HttpMessage& response);

// The result of a call of which only the status of the response has come; nothing if that leaves it open. A
// batch needs its whole response, which holds the state of each request, unless that is over as a whole.
std::optional<AttemptResult> ResultOfStatus(int status, bool is_batch);

// Batch states by request id. For a response that can't be parsed, logs an error and returns no states.
using BatchStates = std::unordered_map<std::string, std::string>;
BatchStates ParseBatchStates(const sockaddr_in& from, const net::HttpMessage& response);
// `state`: the state of one batch entry. Empty if the response does not list the request; the request may
// have run.
AttemptResult ResultOfBatchState(const std::string& state);

Outcome HealthCheckOutcomeOf(const net::HttpMessage& response);

// Retry-After in seconds; 0 if the response has none.
Seconds RetryAfterOf(const net::HttpMessage& response);
// Returns an empty report if any field of it is malformed.
LoadReport LoadReportOf(const net::HttpMessage& response);

}  // namespace opalroute::endpoint_protocol
