// The clients' HTTP side: reads and checks each request, and hands sound ones to the request handler. The
// headers of clients' requests are named in request_listener.cpp and nowhere else in the relay.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "metrics/counters.h"
#include "net/http_server.h"

namespace opalroute {

// A request as a client has sent it.
struct ClientRequest {
  std::string id;   // the client's own
  std::string key;  // idempotency key; empty: none
  std::string body;
  int request_class = 0;      // index into the settings' classes
  std::optional<int> tenant;  // index into the settings' tenants
  Seconds remaining_time = 0;
  DestinationId destination = 0;
};

enum class AcceptResult {
  kAccepted,            // now or before: the id, key, body and destination are those of an accepted request
  kAtCapacity,          // too many requests are open
  kNotRecorded,         // no disk space, or the journal can't be written
  kStopping,            // the relay is shutting down
  kUnknownDestination,  // the current endpoint list does not name it
  kListNotYetCurrent,   // it is not known, and the list may be out of date
  kIdInUse              // the id is another request's
};

// Accepts clients' requests.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Sets `ticket` for a request that is accepted now; it stays 0 for a repeat.
  virtual AcceptResult Accept(ClientRequest&& request, std::uint64_t& ticket) = 0;
  // The client has left before it had its answer.
  virtual void Abort(std::uint64_t ticket) = 0;
  // Whether the relay may be put to use.
  virtual bool Ready() const = 0;
};

class RequestListener : private net::HttpServer::Handler {
 public:
  RequestListener(net::EventLoop& loop, const Config& config, Counters& counters, RequestHandler& requests);

  net::HttpServer& http() { return http_; }

 private:
  net::HttpResponse OnRequest(net::HttpMessage& request) override;
  void OnResponseLost(std::uint64_t ticket) override;
  void OnReject(net::HttpMessage& request) override;
  net::HttpResponse OnRequestPosted(net::HttpMessage& request);
  // Fills `out`; returns what is wrong with the request, or an empty text.
  std::string Read(net::HttpMessage& request, ClientRequest& out) const;
  net::HttpResponse Reject(int request_class, const char* why);

  const Config& config_;
  Counters& counters_;
  RequestHandler& requests_;
  net::HttpServer http_;
};

}  // namespace opalroute
