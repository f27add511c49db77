// A stand-in partner on loopback sockets round a partner model: every relay has an address of its own for
// every endpoint, so that the partner knows who calls. One process, one event loop, as many endpoints as
// descriptors.
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

class Partner {
 public:
  Partner(net::EventLoop& loop, const PartnerSettings& settings, int endpoints, int relays);
  ~Partner();

  sockaddr_in Address(int endpoint, int relay) const;
  const PartnerModel& model() const { return model_; }
  // When a first line with 200 was written for it; none: not delivered.
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
