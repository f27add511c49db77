#include "upstream/endpoint_protocol.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "log/log.h"
#include "net/address.h"
#include "net/base64.h"

namespace opalroute::endpoint_protocol {

using nlohmann::json;

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMaxRetryAfterMs = 3.6e6;  // one hour

// Parses a non-negative, finite number that spans the whole text.
std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid = error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
  if (!valid || value < 0) return std::nullopt;
  return value;
}

bool IsOverSlots(const net::HttpMessage& response) {
  const std::string* over_slots = response.Header("X-Over-Slots");
  return over_slots != nullptr && *over_slots == "1";
}

Outcome OutcomeOfUnavailable(const net::HttpMessage& response) {
  if (IsOverSlots(response)) return Outcome::kNotSent;
  // An endpoint that also closes the connection, and states no Retry-After, is out of connections rather than
  // over its rate or concurrency limit.
  const bool over_limit = response.keep_alive || RetryAfterOf(response) > 0;
  return over_limit ? Outcome::kRejected : Outcome::kOutOfConnections;
}

}  // namespace

std::string FormatCall(const sockaddr_in& to, const OutgoingRequest& request, long remaining_ms) {
  net::Headers headers = {{"Host", net::FormatAddress(to)}, {"X-Txn", request.id}};
  if (!request.key.empty()) headers.emplace_back("Idempotency-Key", request.key);
  headers.emplace_back("X-Remaining-Ms", std::to_string(remaining_ms));
  return net::FormatRequest("POST", "/hook", headers, request.body);
}

std::string FormatBatchCall(const sockaddr_in& to, const std::vector<const OutgoingRequest*>& requests,
                            long remaining_ms) {
  json items = json::array();
  for (const OutgoingRequest* request : requests) {
    items.push_back({{"id", request->id}, {"body", net::EncodeBase64(request->body)}});
    if (!request->key.empty()) items.back()["key"] = request->key;
  }
  const net::Headers headers = {{"Host", net::FormatAddress(to)},
                                {"Content-Type", "application/json"},
                                {"X-Remaining-Ms", std::to_string(remaining_ms)}};
  return net::FormatRequest("POST", "/hook/batch", headers, items.dump());
}

std::string FormatHealthCheck(const sockaddr_in& to) {
  return net::FormatRequest("GET", "/health/live", {{"Host", net::FormatAddress(to)}}, "");
}

AttemptResult ResultOf(const sockaddr_in& from, const net::HttpMessage& response) {
  switch (response.status) {
    case 200:
      return {Outcome::kServed, true};
    case 429:
      return {Outcome::kRejected, false};
    case 503:
      return {OutcomeOfUnavailable(response), false};
    case 504:
      return {Outcome::kNotSent, false};
    case 410:
      return {Outcome::kNotSent, true};
    case 500:
      return {Outcome::kError, false};
    default:
      log::Error("endpoint_answer_unknown",
                 {{"address", net::FormatAddress(from)}, {"status", response.status}});
      return {Outcome::kError, false};  // the request may have run
  }
}

std::optional<AttemptResult> ResultOfStatus(int status, bool is_batch) {
  if (status == 200 && !is_batch) return AttemptResult{Outcome::kServed, true};
  if (status == 410) return AttemptResult{Outcome::kNotSent, true};
  return std::nullopt;
}

BatchStates ParseBatchStates(const sockaddr_in& from, const net::HttpMessage& response) {
  BatchStates states;
  const json list = json::parse(response.body, nullptr, false);
  if (!list.is_array()) {
    log::Error("batch_answer_unreadable", {{"address", net::FormatAddress(from)}});
    return states;
  }
  for (const json& item : list) {
    if (!item.is_object()) continue;
    const auto id = item.find("id");
    const auto state = item.find("state");
    const bool valid = id != item.end() && id->is_string() && state != item.end() && state->is_string();
    if (valid) states[id->get<std::string>()] = state->get<std::string>();
  }
  return states;
}

AttemptResult ResultOfBatchState(const std::string& state) {
  if (state == "done") return {Outcome::kServed, true};
  if (state == "busy") return {Outcome::kRejected, false};
  if (state == "used_up") return {Outcome::kNotSent, false};
  if (state == "void") return {Outcome::kNotSent, true};
  return {Outcome::kError, false};
}

Outcome HealthCheckOutcomeOf(const net::HttpMessage& response) {
  switch (response.status) {
    case 200:
      return Outcome::kServed;
    case 429:
    case 503:
      return Outcome::kRejected;
    default:
      return Outcome::kError;
  }
}

Seconds RetryAfterOf(const net::HttpMessage& response) {
  const std::string* text = response.Header("X-RateLimit-Wait-Ms");
  if (text == nullptr) return 0;
  return std::min(ParseNumber(*text).value_or(0), kMaxRetryAfterMs) / kMillisecondsPerSecond;
}

// Parses "TEXT x0=0.4, x1=25"; other fields are ignored.
LoadReport LoadReportOf(const net::HttpMessage& response) {
  LoadReport report;
  const std::string* text = response.Header("X-Pressure");
  if (text == nullptr) return report;
  std::string_view rest = *text;
  rest.remove_prefix(std::min(rest.size(), rest.find(' ')));
  while (!rest.empty()) {
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(", ")));
    const std::string_view field = rest.substr(0, rest.find(','));
    rest.remove_prefix(field.size());
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) return {};
    const auto value = ParseNumber(field.substr(equals + 1));
    if (!value) return {};
    if (field.substr(0, equals) == "x0") report.remaining_share = value;
    if (field.substr(0, equals) == "x1") report.calls_per_second = value;
  }
  return report;
}

}  // namespace opalroute::endpoint_protocol
