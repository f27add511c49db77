// The operators' own settings, with their defaults; operator_options.h says where they come from.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace opalroute {

struct Operator {
  bool log_json = false;
  std::string log_level = "info";
  struct Learn {
    std::optional<sockaddr_in> listen;  // others may fetch a snapshot here
    std::vector<sockaddr_in> from;      // where this one fetches its own at the start
    bool notes = false;                 // ask peers by datagrams
    bool state = false;                 // keep a snapshot in the state folder, and read it at the start
    double time = 0.3;                  // seconds that readiness waits for donors; 0.01 to 10
    double longest_wait = 30;           // seconds for which a wait by hearsay holds at most; 0 to 3600
    bool on() const { return listen || !from.empty() || notes || state; }
  } learn;
  struct Tier {
    bool shares = false;  // parts of limits follow how many relays of the tier are there
    bool zones = false;   // failing zones are left, and returned to, by all relays together
    bool on() const { return shares || zones; }
  } tier;
  std::optional<sockaddr_in> admin_listen;  // what a running relay tells its operators
  struct Dns {
    std::vector<sockaddr_in> servers;
    double least_lifetime = 1;    // seconds that an answer is kept at least; 0.1 to 3600
    double most_lifetime = 3600;  // and at most; 1 to 86400
    double stale = 3600;  // seconds after its lifetime that it is good for if servers fail; 0 to 604800
  } dns;
  std::vector<std::pair<std::string, long long>> srv_names;  // SRV names and their destinations
  std::vector<std::pair<long long, sockaddr_in>>
      srv_own;  // what is a destination's own though no list names it
};

}  // namespace opalroute
