#include "lab/sockets/ledger.h"

#include <utility>

#include "lab/call.h"

namespace opalroute::lab {

namespace {

// A copy that left before its relay had read the end is no breach: so long after the end it may arrive.
constexpr Seconds kOnTheWay = 0.25;

constexpr double kHalf = 0.5;   // of a message's time: what a restart finds with more left is to be tried
constexpr double kEarly = 0.7;  // of it: an end before is early (the standing test)

}  // namespace

std::size_t Ledger::Ask(const Arrival& arrival) {
  clients_.push_back({arrival, false});
  tally_.Offered(arrival);
  return clients_.size() - 1;
}

Seconds Ledger::DeadlineOf(std::size_t client) const {
  const Arrival& arrival = clients_[client].arrival;
  return arrival.due + s_.classes[static_cast<std::size_t>(arrival.message_class)].rules.deadline;
}

std::uint64_t Ledger::HandIn(Seconds now, int relay, std::size_t client) {
  ++tally_.result().handed_in;
  ++open_;
  handings_.emplace_back();
  handings_.back().client = client;
  handings_.back().relay = relay;
  const std::uint64_t id = handings_.size();
  const Arrival& arrival = clients_[client].arrival;
  auditor_.OnAccepted(now, relay, id, client, arrival.message_class, world_.partners()[arrival.partner].id,
                      DeadlineOf(client));
  return id;
}

void Ledger::End(Seconds now, std::uint64_t id, Handing& handing, Auditor::End end) {
  auditor_.OnEnded(now, id, end);
  if (std::exchange(handing.over, true)) return;
  handing.ended = now;
  --open_;
  Client& client = clients_[handing.client];
  if (end == Auditor::End::kDelivered && !std::exchange(client.delivered, true))
    tally_.Delivered(client.arrival, now);
  if (end == Auditor::End::kRejected) tally_.Refused(now);
  if (end == Auditor::End::kFailed) tally_.Failed(now);
}

void Ledger::TakenOn(Seconds now, std::uint64_t id) {
  Handing& handing = *Find(id);
  handing.taken_on = true;
  if (handing.served && !handing.over) End(now, id, handing, Auditor::End::kDelivered);
}

void Ledger::Refused(Seconds now, std::uint64_t id) { End(now, id, *Find(id), Auditor::End::kRejected); }
void Ledger::Failed(Seconds now, std::uint64_t id) { End(now, id, *Find(id), Auditor::End::kFailed); }
void Ledger::Withdrawn(Seconds now, std::uint64_t id) {
  Find(id)->withdrawn = true;
  End(now, id, *Find(id), Auditor::End::kAborted);
}

void Ledger::Noticed(Seconds now, std::uint64_t id, Notice notice, Seconds advice) {
  Handing* handing = Find(id);
  // A relay that was killed repeats what it may not have told: 'does no harm'.
  if (handing == nullptr || handing->over) return;
  if (handing->found_untried && handing->attempts == 0 && now < TimeOf(handing->client, kEarly))
    ++untried_ended_;
  End(now, id, *handing, notice == Notice::kGivenUp ? Auditor::End::kFailed : Auditor::End::kRejected);
  if (notice == Notice::kHandedBack && on_handed_back) on_handed_back(handing->client, advice);
}

Seconds Ledger::TimeOf(std::size_t client, double share) const {
  const Arrival& arrival = clients_[client].arrival;
  return arrival.due + share * (DeadlineOf(client) - arrival.due);
}

void Ledger::RelayRestarted(Seconds now, int relay) {
  for (Handing& handing : handings_) {
    const bool open = handing.relay == relay && handing.taken_on && !handing.over;
    if (!open || handing.attempts > 0 || handing.found_untried || now > TimeOf(handing.client, kHalf))
      continue;
    handing.found_untried = true;
    ++untried_;
  }
}

// A relay that was killed before it had read the 200 sends a delivered message anew, as its class allows.
bool Ledger::MayComeAgain(Seconds now, const Handing& handing) const {
  const RequestClass& c =
      s_.classes[static_cast<std::size_t>(clients_[handing.client].arrival.message_class)].rules;
  if (!handing.served || c.idempotency == Idempotency::kNonIdempotent) return false;
  return c.idempotency == Idempotency::kIdempotent || now <= handing.ended + c.deduplication_window;
}

// Whether what comes after the end is the relay's right.
bool Ledger::MayArriveLate(Seconds now, int relay, const Handing& handing) const {
  // Nobody has told the relay that the client withdrew.
  if (handing.withdrawn || MayComeAgain(now, handing)) return true;
  const auto deaf = deaf_until_.find(relay);
  const bool heard_late = deaf != deaf_until_.end() && handing.ended <= deaf->second;
  return now <= (heard_late ? deaf->second : handing.ended) + kOnTheWay;
}

int Ledger::Arrived(Seconds now, int relay, std::uint64_t id, EndpointId endpoint) {
  Handing* handing = Find(id);
  const bool over = handing == nullptr || handing->over;
  if (over && handing != nullptr && MayArriveLate(now, relay, *handing)) return kVoid;
  auditor_.OnSent(now, relay, id, endpoint);  // which reports it where it is over
  if (over) return kVoid;
  ++tally_.result().attempts;
  return handing->attempts++;
}

void Ledger::Ran(Seconds now, std::uint64_t id) { auditor_.OnRan(now, id); }

void Ledger::Over(Seconds now, std::uint64_t id, int attempt, Outcome outcome) {
  Handing& handing = *Find(id);
  tally_.AttemptEnded(outcome);
  auditor_.OnAttemptEnded(id, attempt, !decision::ProvesNeverRan(outcome));
  if (outcome != Outcome::kServed) return;
  handing.served = true;
  // It counts once its client has heard, too. An end that came first stands.
  if (handing.taken_on && !handing.over) End(now, id, handing, Auditor::End::kDelivered);
}

}  // namespace opalroute::lab
