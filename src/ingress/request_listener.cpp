#include "ingress/request_listener.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "ingress/server_bounds.h"
#include "log/log.h"

namespace opalroute {

namespace {

// Whether `text` is 1 to `max_bytes` bytes of printable ASCII without spaces. Such a value can be forwarded
// in HTTP headers and in JSON.
bool IsVisibleAscii(const std::string& text, std::size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

template <typename T>
bool ParseNumber(std::string_view text, T& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

// Parses the destination from a list of fields separated by commas, semicolons, spaces or tabs. Exactly one
// field must have the form "dest=7"; others are ignored.
bool ParseDestination(std::string_view text, DestinationId& destination) {
  int found = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.size(), text.find_first_of(",; \t"));
    const std::string_view field = text.substr(0, end);
    if (field.substr(0, 5) == "dest=" && (++found > 1 || !ParseNumber(field.substr(5), destination)))
      return false;
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return found == 1;
}

net::ServerBounds ClientServerBounds(const Limits& limits, net::MemoryBudget& memory) {
  net::ServerBounds bounds = ServerBoundsOf(limits, &memory, net::MemoryOwner::kClients);
  bounds.socket_send_bytes = limits.client_socket_send_bytes;
  return bounds;
}

}  // namespace

RequestListener::RequestListener(net::EventLoop& loop, const Config& config, Counters& counters,
                                 net::MemoryBudget& memory, RequestHandler& handler)
    : loop_(loop),
      config_(config),
      counters_(counters),
      handler_(handler),
      limit_lines_(config.limits.request_log_lines),
      http_(loop,
            config.inherited_fd >= 0 ? net::InheritListener(config.inherited_fd)
                                     : net::OpenListener(config.listen),
            ClientServerBounds(config.limits, memory), *this) {}

void RequestListener::OnReject(net::HttpMessage& request) {
  ClientRequest rejected;
  const bool valid = request.method == "POST" && ParseRequest(request, rejected).empty();
  if (valid) ++counters_.ForClass(rejected.request_class).rejected;
}

void RequestListener::OnLimit(net::ServerLimit limit, std::size_t held_bytes) {
  ++counters_.client_limits[static_cast<std::size_t>(limit)];
  if (!limit_lines_.MayLog(static_cast<std::int64_t>(loop_.Now()))) return;
  log::Info("client_limit", {{"limit", NameOf(limit)},
                             {"held_bytes", held_bytes},
                             {"connections", http_.connections()},
                             {"suppressed", limit_lines_.TakeSuppressed()}});
}

net::HttpResponse RequestListener::OnRequest(net::HttpMessage& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/api")
    return request.method == "POST" ? OnRequestPosted(request) : net::PlainTextResponse(405, "POST only");
  if (request.method != "GET") return net::PlainTextResponse(404, "nothing here");
  if (path == "/health/ready")
    return handler_.Ready() ? net::PlainTextResponse(200, "ready") : net::PlainTextResponse(503, "not ready");
  if (path == "/health/live") return net::PlainTextResponse(200, "alive");
  if (path == "/counters")
    return {200, {{"Content-Type", "application/json"}}, counters_.ToJsonText() + "\n", 0};
  return net::PlainTextResponse(404, "nothing here");
}

void RequestListener::OnResponseLost(std::uint64_t ticket) { handler_.Abort(ticket); }

net::HttpResponse RequestListener::OnRequestPosted(net::HttpMessage& request) {
  ++counters_.requests;
  ClientRequest client_request;
  const std::string error = ParseRequest(request, client_request);
  if (!error.empty()) {
    ++counters_.bad_requests;
    log::Debug("bad_request", {{"why", error}});  // debug only: a faulty client must not flood the log
    return net::PlainTextResponse(400, error);
  }
  std::uint64_t ticket = 0;
  const int request_class = client_request.request_class;
  switch (handler_.Accept(std::move(client_request), ticket)) {
    case AcceptResult::kAccepted:
      return {202, {}, {}, ticket};
    case AcceptResult::kAtCapacity:
      ++counters_.rejects_full;
      return Reject(request_class, "full");
    case AcceptResult::kNotRecorded:
      ++counters_.rejects_disk;
      return Reject(request_class, "no room to record it");
    case AcceptResult::kStopping:
      ++counters_.rejects_stopping;
      return Reject(request_class, "stopping");
    case AcceptResult::kListNotYetCurrent:
      ++counters_.rejects_full;
      return Reject(request_class, "destination not known yet");
    case AcceptResult::kIdInUse:
      ++counters_.bad_requests;
      return net::PlainTextResponse(409, "X-Txn: this id is another message's");
    default:
      ++counters_.bad_requests;
      return net::PlainTextResponse(404, "X-Addressing: no such destination");
  }
}

net::HttpResponse RequestListener::Reject(int request_class, const char* why) {
  ++counters_.ForClass(request_class).rejected;
  if (log::IsEnabled(log::Level::debug))
    log::Debug("client_rejected", {{"class", config_.classes[request_class]}, {"why", why}});
  net::HttpResponse response = net::PlainTextResponse(503, why);
  response.headers.emplace_back("Retry-After", net::FormatSeconds(config_.limits.reject_retry_after));
  return response;
}

std::string RequestListener::ParseRequest(net::HttpMessage& request, ClientRequest& out) const {
  const Limits& limits = config_.limits;
  const auto text = [&request](const char* name) {
    const std::string* value = request.Header(name);
    return value == nullptr ? std::string() : *value;
  };
  // A repeated header is refused: the endpoint might read the other value than the relay does.
  for (const char* name :
       {"Host", "X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Addressing", "Idempotency-Key"})
    if (request.Count(name) > 1) return std::string(name) + ": stated more than once";
  out.id = text("X-Txn");
  if (!IsVisibleAscii(out.id, limits.identifier_bytes)) return "X-Txn: an id is missing, or not plain";
  out.request_class = IndexOf(config_.classes, text("X-Lane"));
  if (out.request_class < 0) return "X-Lane: no such class";
  if (!config_.tenants.empty()) {
    out.tenant = IndexOf(config_.tenants, text("X-Org"));
    if (*out.tenant < 0) return "X-Org: no such tenant";
  }
  long milliseconds = 0;
  if (!ParseNumber<long>(text("X-Remaining-Ms"), milliseconds) || milliseconds < 0)
    return "X-Remaining-Ms: no whole number of milliseconds";
  out.remaining_time = std::min(static_cast<double>(milliseconds) / 1000, limits.max_remaining_time);
  if (!ParseDestination(text("X-Addressing"), out.destination)) return "X-Addressing: no dest=NUMBER";
  out.key = text("Idempotency-Key");
  const bool keyed = config_.settings.classes[out.request_class].idempotency == Idempotency::kIdempotencyKey;
  if ((keyed || !out.key.empty()) && !IsVisibleAscii(out.key, limits.identifier_bytes))
    return "Idempotency-Key: missing, or not plain";
  out.body = std::move(request.body);
  return {};
}

}  // namespace opalroute
