// One destination's endpoints as the endpoint list and DNS SRV together give them, and whether each is in
// service: the rule of docs/srv.md. Pure: no I/O, and the clock is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery/endpoint_source.h"
#include "discovery/endpoint_verdict.h"
#include "discovery/srv_target.h"

namespace opalroute {

// Times in seconds.
struct MergeOptions {
  // The share of a destination's endpoints that unconfirmed answers may drain within `removal_window`.
  double max_removed_share = 0.5;
  double removal_window = 30;
  double confirmation_delay = 2;  // an exclusion that a later answer repeats after this time is confirmed
  double return_delay = 10;       // a drained endpoint returns once answers have named it for this time
  double tombstone_time = 600;    // an address that the list has withdrawn is not added by SRV for this time
  std::set<std::string> kinds_with_endpoint_limits;  // whose endpoints are rated by SRV's weights
  std::string added_zone;                            // of endpoints that only SRV names
  std::string added_kind;
};

struct MergedEndpoint {
  EndpointRecord endpoint;  // as the relay gets it
  Verdict verdict{};
};

class MergedDestination {
 public:
  // `options` must outlive this object.
  MergedDestination(long long id, const MergeOptions& options) : id_(id), options_(options) {}

  // The operators' file has this address as the destination's own: SRV may add an endpoint there.
  void AddOwnAddress(const sockaddr_in& address);

  // The list names an endpoint, or removes it. UpdateVerdicts has to follow.
  void ApplyRecord(double now, const EndpointRecord& record);
  // The list removes an endpoint. UpdateVerdicts has to follow.
  void Withdraw(double now, const std::string& list_id);
  // A whole list names only these: withdraws the others and returns their ids in the list. UpdateVerdicts has
  // to follow.
  std::vector<std::string> WithdrawUnlisted(double now, const std::set<std::string>& listed_ids);

  // An answer that names targets. Not complete: the addresses of some are not known, so nothing is drained.
  // Returns the number of targets that were ignored, as they are not the destination's own.
  long ApplyTargets(double now, const std::vector<SrvTarget>& targets, bool complete);
  // The answer is the target ".": the service is decidedly not offered.
  void ApplyNotOffered(double now);
  // No such name, no such record, a failure or an answer that is too old: all stays as it was. Expired:
  // earlier answers no longer count either.
  void ApplyNoAnswer(double now, bool expired);

  // Decides who is in service. Only a complete answer of SRV (`answered`) drains anything.
  void UpdateVerdicts(double now, bool answered);

  bool Contains(const std::string& id) const { return endpoints_.count(id) > 0; }
  std::vector<MergedEndpoint> Endpoints() const;  // by id

 private:
  using AddressKey = std::uint64_t;
  struct Endpoint {
    EndpointRecord record;  // as its source has it, but with the id that it has here
    bool added = false;     // by SRV, and the list has not named it
    double added_at = -1;
    std::optional<SrvTarget> target;  // that names it in the latest answer
    // Since when all answers have excluded or included it; below 0: the latest one did not.
    double excluded_since = -1;
    double included_since = -1;
    bool exclusion_confirmed = false;
    bool drained = false;  // by SRV
    Verdict verdict = Verdict::kList;

    bool ListedInService() const { return record.status == EndpointRecord::Status::kInService; }
    bool InService() const { return ListedInService() && !drained; }
    void ForgetAnswers();
  };

  static AddressKey KeyOf(const sockaddr_in& address);
  std::string ResolveId(const EndpointRecord& record);
  long AddOwnTargets(double now, const std::vector<SrvTarget>& targets);
  void AddEndpoint(double now, const std::string& id, const sockaddr_in& address);
  bool MayAdd(double now, AddressKey key) const;
  void ApplyAnswer(double now, bool complete);
  int BestPriority() const;
  void DrainExcluded(double now, std::size_t in_service);
  void EraseExcludedAdditions();
  void KeepOneInService();
  bool MayDrain(double now, std::size_t in_service) const;
  bool IsClosed() const;
  Verdict VerdictOf(const Endpoint& endpoint) const;
  bool IsRatedByWeight(const Endpoint& endpoint) const;
  double RatingOf(const Endpoint& endpoint) const;
  EndpointRecord MergedRecord(const Endpoint& endpoint) const;

  const long long id_;
  const MergeOptions& options_;
  bool not_offered_ = false;
  std::set<AddressKey> own_addresses_;
  std::map<std::string, Endpoint> endpoints_;   // by the id that they have here
  std::map<std::string, std::string> aliases_;  // the list's id to the one here, where they differ
  std::map<AddressKey, double> tombstones_;     // withdrawn addresses, until
  std::vector<double> unconfirmed_drains_;      // when, within the removal window
};

}  // namespace opalroute
