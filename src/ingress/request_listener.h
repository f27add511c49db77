// The HTTP server for clients: parses and validates each request and passes valid ones to the request
// handler. request_listener.cpp is the only place in the relay that names the headers of client requests.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "log/line_limiter.h"
#include "metrics/counters.h"
#include "net/http_server.h"

namespace opalroute {

// A request as the client sent it.
struct ClientRequest {
  std::string id;   // chosen by the client
  std::string key;  // idempotency key, or empty
  std::string body;
  int request_class = 0;      // index into the settings' classes
  std::optional<int> tenant;  // index into the settings' tenants
  Seconds remaining_time = 0;
  DestinationId destination = 0;
};

enum class AcceptResult {
  kAccepted,            // accepted now, or repeats a request that is accepted, or has ended
                        // and may have run: same id, key, body and destination
  kAtCapacity,          // too many open requests
  kNotRecorded,         // no disk space, or writing to the journal failed
  kStopping,            // the relay is shutting down
  kUnknownDestination,  // not in the endpoint list, which is current
  kListNotYetCurrent,   // destination not in the endpoint list, which may be out of date
  kIdInUse              // the id belongs to a different request
};

// Accepts client requests.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Sets `ticket`, by which Abort finds the request, if it is newly accepted; a repeated request leaves it
  // unchanged.
  virtual AcceptResult Accept(ClientRequest&& request, std::uint64_t& ticket) = 0;
  // The client disconnected before the whole response was written to it.
  virtual void Abort(std::uint64_t ticket) = 0;
  // Whether the relay is ready to accept requests, as reported by the readiness check.
  virtual bool Ready() const = 0;
};

class RequestListener : private net::HttpServer::Handler {
 public:
  // All of these must outlive the listener.
  RequestListener(net::EventLoop& loop, const Config& config, Counters& counters, net::MemoryBudget& memory,
                  RequestHandler& handler);

  net::HttpServer& http() { return http_; }

 private:
  net::HttpResponse OnRequest(net::HttpMessage& request) override;
  void OnResponseLost(std::uint64_t ticket) override;
  void OnReject(net::HttpMessage& request) override;
  void OnLimit(net::ServerLimit limit, std::size_t held_bytes) override;
  net::HttpResponse OnRequestPosted(net::HttpMessage& request);
  // Fills `out`. Returns an error message, which is empty if the request is valid.
  std::string ParseRequest(net::HttpMessage& request, ClientRequest& out) const;
  net::HttpResponse Reject(int request_class, const char* why);

  net::EventLoop& loop_;
  const Config& config_;
  Counters& counters_;
  RequestHandler& handler_;
  log::LineLimiter limit_lines_;
  net::HttpServer http_;
};

}  // namespace opalroute
