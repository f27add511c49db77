// The virtual server: what clients see. Checks each request and passes sound ones on to be taken on.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "metrics/counters.h"
#include "net/http_server.h"

namespace opalroute {

struct ClientRequest {
  std::string id, key, body;
  int request_class = 0;
  std::optional<int> tenant;
  Seconds remaining_time = 0;
  DestinationId destination = 0;
};

enum class AcceptResult {
  kAccepted,
  kAtCapacity,
  kNotRecorded,
  kStopping,
  kUnknownDestination,
  kListNotYetCurrent,
  kIdInUse
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual AcceptResult Accept(ClientRequest&& request, std::uint64_t& ticket) = 0;
  virtual void Abort(std::uint64_t ticket) = 0;  // the client left before it had its answer
  virtual bool Ready() const = 0;                // to be put to use
};

class RequestListener : private net::HttpServer::Handler {
 public:
  RequestListener(net::EventLoop& loop, const Config& config, Counters& counters,
                  RequestHandler& transactions);

  net::HttpServer& http() { return http_; }

 private:
  net::HttpAnswer OnRequest(net::HttpMessage& request) override;
  void OnAnswerLost(std::uint64_t ticket) override;
  void OnReject(net::HttpMessage& request) override;
  net::HttpAnswer OnRequestPosted(net::HttpMessage& request);
  // Fills `out`; returns what is wrong with the request, or nothing.
  std::string Read(net::HttpMessage& request, ClientRequest& out) const;
  net::HttpAnswer Reject(int message_class, const char* why);

  const Config& config_;
  Counters& counters_;
  RequestHandler& transactions_;
  net::HttpServer http_;
};

}  // namespace opalroute
