// The rule that joins sources: the partner list owns membership, DNS SRV may order, rate and drain what the
// list names, and add only what the operators' file says is the partner's own. docs/srv.md has the rule on
// one page and its table; tests/merge_test.cpp plays every row. Pure: no I/O, the clock is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_source.h"

namespace opalroute {

struct MergeOptions {
  double max_removed_share =
      0.5;                      // of a destination's endpoints that a single answer may take out of service
  double settle_time = 30;      // within which several answers together may take out no more than that
  double confirm_time = 2;      // what a later answer repeats after this long is believed whole
  double return_time = 10;      // one that was taken out is back once answers have named it for so long
  double tombstone_time = 600;  // what the list has withdrawn is not taken from SRV for so long
  std::set<std::string>
      kinds_with_endpoint_limits;      // whose endpoints have limits of their own: SRV's weights rate those
  std::string added_zone, added_kind;  // of endpoints that only SRV names
};

struct SrvTarget {
  std::string target;  // the name that it was found under
  sockaddr_in address{};
  int priority = 0;  // the least goes first (RFC 2782)
  int weight = 0;
};

// Why an endpoint is, or is not, in service.
enum class Verdict {
  kList,          // the list says so, and SRV nothing against it
  kListDraining,  // the list drains it
  kAdded,         // named by SRV alone, and the partner's own by the operators' file
  kAbsent,        // SRV names others of this destination, and not this one
  kStandby,       // SRV names others of a better priority
  kNotOffered,    // SRV says that the service is not offered
  kHeld,          // SRV is against it, but too many would go at once, or the last one
  kReturning      // SRV names it again, not yet for long enough
};
const char* NameOf(Verdict verdict);

class EndpointMerge {
 public:
  explicit EndpointMerge(const MergeOptions& rules) : rules_(rules) {}

  // By the operators' file, whoever answers at this address is the destination's own.
  void SetOwner(long long destination, const sockaddr_in& address);

  // Each takes news in and returns what has changed of the joined set: whole if the list was.
  EndpointListUpdate OnList(double now, const EndpointListUpdate& news);
  // An answer that names targets. Not complete: the addresses of some are not known, so nothing is taken out.
  EndpointListUpdate OnTargets(double now, long long destination, const std::vector<SrvTarget>& targets,
                               bool complete);
  EndpointListUpdate OnNotOffered(double now, long long destination);  // the target "."
  // No such name, no such record, no answer, or one too old: nothing is said. Expired: what was said before
  // no longer counts either.
  EndpointListUpdate OnNoAnswer(double now, long long destination, bool expired);

  struct Row {
    EndpointRecord endpoint;  // as it goes to the relay
    Verdict verdict{};
  };
  std::vector<Row> Rows() const;  // by destination and id
  long unowned_targets() const {
    return unowned_targets_;
  }  // targets passed over, as no one owns them: not the partner's own

 private:
  using AddressKey = std::uint64_t;
  struct Endpoint {
    EndpointRecord record;  // as its source has it; the id is the one that it goes by here
    bool added = false;
    double added_at = -1;
    std::optional<SrvTarget> named;  // by the latest answer
    double against_since = -1,
           named_since = -1;  // of the answers in a row that say so; below 0: the latest did not
    bool confirmed = false;   // by one that came confirm_s later
    bool out = false;
    Verdict verdict = Verdict::kList;
  };
  struct Destination {
    bool not_offered = false;
    std::set<AddressKey> own;
    std::map<std::string, Endpoint> endpoints;   // by the id that they go by
    std::map<std::string, std::string> aliases;  // the list's id, where it goes by another
    std::map<AddressKey, double> withdrawn;      // until
    std::vector<double> taken_out;               // unconfirmed, when, within settle_s
  };

  static AddressKey KeyOf(const sockaddr_in& address);
  void ApplyRecord(double now, const EndpointRecord& member);
  void Withdraw(double now, Destination& d, const std::string& list_id);
  void AddOwn(double now, long long id, Destination& d, const std::vector<SrvTarget>& targets);
  void ApplyAnswer(double now, Destination& d, bool complete);
  void UpdateVerdicts(double now, Destination& d, bool answered);
  bool MayTakeOut(double now, const Destination& d, std::size_t ready) const;
  double RatingOf(const Destination& d, const Endpoint& e) const;
  EndpointRecord Emitted(const Destination& d, const Endpoint& e) const;
  EndpointListUpdate Changes(const std::set<long long>& touched);

  const MergeOptions rules_;
  std::map<long long, Destination> destinations_;
  std::map<long long, std::map<std::string, EndpointRecord>> published_;  // as the relay has it
  std::unordered_map<std::string, long long> destination_by_id_;          // by the list's id, its destination
  long unowned_targets_ = 0;
};

}  // namespace opalroute
