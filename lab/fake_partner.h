// A fake partner on loopback sockets, backed by a PartnerModel. It listens at a separate address for every
// pair of endpoint and relay, and so knows which relay calls. All in one event loop; file descriptors bound
// the number of endpoints.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/partner_model.h"
#include "lab/sessions.h"
#include "net/connection.h"
#include "net/listener.h"

namespace opalroute::lab {

class FakePartner {
 public:
  FakePartner(net::EventLoop& loop, const PartnerSettings& settings, int endpoints, int relays);
  ~FakePartner();

  sockaddr_in Address(int endpoint, int relay) const;
  const PartnerModel& model() const { return model_; }
  // When the first 200 was written, by message; absent: not delivered.
  const std::map<std::string, Seconds>& delivered() const { return delivered_; }

 private:
  class Session;
  void Accept(int fd, int relay);

  net::EventLoop& loop_;
  PartnerModel model_;
  const int relays_;
  std::map<std::string, Seconds> delivered_;
  Sessions<Session> sessions_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;  // by endpoint, then by relay
};

}  // namespace opalroute::lab
