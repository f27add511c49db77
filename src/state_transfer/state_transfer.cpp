#include "state_transfer/state_transfer.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute::state_transfer {

StateTransfer::StateTransfer(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                             const Operator::Learn& settings, Host& host)
    : loop_(loop),
      clock_(clock),
      config_(config),
      settings_(settings),
      host_(host),
      source_([this](std::optional<DestinationId>& from, int most) { return Export(from, most); }) {
  const Limits& limits = config.limits;
  if (settings.state) {
    file_ = std::make_unique<SnapshotFile>(config.state_folder, limits.learn_file_bytes);
    LoadState();
    ArmSave();
  }
  if (settings.listen)
    server_ = std::make_unique<SnapshotServer>(loop, *settings.listen, config.name, source_, limits);
  if (settings.notes && config.peer_listen && config.may_tell_peers) {
    const DatagramExchange::Bounds bounds{limits.learn_note_peers, limits.learn_note_answers,
                                          limits.learn_note_time};
    const auto nonce = static_cast<std::uint32_t>(config.settings.seed ^ config.settings.seed >> 32);
    datagrams_ = std::make_unique<DatagramExchange>(
        bounds, nonce, [this](int peer, const std::string& bytes) { host_.SendDatagram(peer, bytes); });
    datagrams_->RequestSome(loop.Now(), static_cast<int>(config.peers.size()), config.own_peer);
  }
  if (settings.from.empty()) return;
  merger_ = std::make_unique<SnapshotMerger>(MergeOptionsOf(), limits.learn_lanes);
  SnapshotClient::Owner& owner = *this;
  client_ = std::make_unique<SnapshotClient>(loop, settings.from, config.name, settings.time, limits, owner);
}

StateTransfer::~StateTransfer() { loop_.Cancel(save_timer_); }

MergeOptions StateTransfer::MergeOptionsOf() const {
  return {settings_.longest_wait, config_.settings.slow_start_duration};
}

std::optional<sockaddr_in> StateTransfer::snapshot_address() const {
  if (!server_) return std::nullopt;
  return server_->address();
}

// ---- out -----------------------------------------------------------------------------------------------

std::vector<NamedRouteState> StateTransfer::Export(std::optional<DestinationId>& from, int most) const {
  std::vector<NamedRouteState> out;
  for (RouteState& b : host_.ExportRouteStates(from, most)) {
    if (b.retry_after <= 0 && !b.failure_age && !b.recovery_age && !b.success_age && !b.rejection_age &&
        !b.latency_age && !b.hedging_disabled_age)
      continue;
    NamedRouteState heard;
    if (b.endpoint != 0) heard.endpoint = host_.NameOf(b.endpoint);
    heard.state = std::move(b);
    out.push_back(std::move(heard));
  }
  return out;
}

void StateTransfer::ArmSave() {
  save_timer_ = loop_.At(loop_.Now() + config_.limits.learn_file_every, [this] {
    save_timer_ = 0;
    ArmSave();
    if (exporting_) return;
    exported_.clear();
    exporting_ = std::make_unique<SnapshotSlices>(
        loop_, source_,
        [this](std::vector<NamedRouteState> lanes) {
          for (NamedRouteState& heard : MostUrgent(std::move(lanes))) exported_.push_back(std::move(heard));
          return exported_.size() < config_.limits.learn_lanes;
        },
        [this] {
          Save();
          loop_.Retire(std::exchange(exporting_, nullptr));
        });
  });
}

// Nothing urgent twice in a row is not written again: most of the time the disk is left alone.
void StateTransfer::Save() {
  exported_ = MostUrgent(std::move(exported_));
  const bool some = !exported_.empty();
  if (!some && !file_has_routes_) return;
  if (file_->Save(config_.name, clock_.Micros(), exported_)) {
    file_has_routes_ = some;
  } else {
    log::Warn("learn_not_saved", {{"path", file_->path()}});
  }
}

// ---- in ------------------------------------------------------------------------------------------------

void StateTransfer::LoadState() {
  const SnapshotFile::Saved saved = file_->Load();
  // Time that this process did not run is age like any other. Where the machine has booted and its wall clock
  // is behind it adds none.
  const double down = std::max(0.0, static_cast<double>(clock_.Micros() - saved.written_at) / 1e6);
  file_has_routes_ = !saved.routes.empty();
  if (saved.result == "none") return;
  SnapshotMerger judge(MergeOptionsOf(), config_.limits.learn_lanes);
  judge.CountOutOfRange(saved.out_of_range);
  for (const NamedRouteState& heard : saved.routes) judge.Add(0, heard, loop_.Now() - down);
  log::Info("learn_heard",
            {{"carrier", "state"}, {"end", saved.result}, {"lanes", saved.routes.size()}, {"age_s", down}});
  Apply(judge, "state");
}

void StateTransfer::OnRouteState(int donor, const NamedRouteState& heard, Seconds made) {
  merger_->Add(donor, heard, made);
}

void StateTransfer::OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& reports) {
  for (const SnapshotClient::Report& r : reports) {
    merger_->CountOutOfRange(r.out_of_range);
    log::Info("learn_heard", {{"carrier", "tcp"},
                              {"from", net::FormatAddress(r.address)},
                              {"name", r.name},
                              {"end", r.result},
                              {"lanes", r.route_count},
                              {"bytes", r.bytes},
                              {"ms", r.took * 1000},
                              {"donor_runs_s", r.running}});
  }
  const auto judge = std::exchange(merger_, nullptr);
  // Whoever asks sees that it is done before it is told; the learner itself is still on the stack.
  loop_.Retire(std::exchange(client_, nullptr));
  Apply(*judge, "tcp");
}

bool StateTransfer::OnDatagram(int peer, std::string_view bytes) {
  if (!datagrams_) return false;
  const DatagramExchange::Received taken = datagrams_->Receive(loop_.Now(), peer, bytes);
  if (taken.kind == DatagramExchange::Kind::kNotOurs) return false;
  if (taken.kind == DatagramExchange::Kind::kAnswer) OnAnswer(peer, taken.note);
  if (taken.kind != DatagramExchange::Kind::kRequest || requesters_.size() >= config_.peers.size())
    return true;
  requesters_.push_back({peer, taken.note.nonce});
  if (answering_) return true;
  answering_ = std::make_unique<SnapshotSlices>(
      loop_, source_,
      [this](std::vector<NamedRouteState> lanes) {
        for (NamedRouteState& heard : MostUrgent(std::move(lanes))) urgent_.push_back(std::move(heard));
        return true;
      },
      [this] {
        urgent_ = MostUrgent(std::move(urgent_));
        for (const Requester& asked : std::exchange(requesters_, {}))
          datagrams_->Answer(asked.peer, asked.nonce, urgent_);
        urgent_.clear();
        loop_.Retire(std::exchange(answering_, nullptr));
      });
  return true;
}

void StateTransfer::OnAnswer(int peer, const Datagram& note) {
  SnapshotMerger judge(MergeOptionsOf(), config_.limits.learn_lanes);
  judge.CountOutOfRange(note.out_of_range);
  for (const NamedRouteState& heard : note.routes) judge.Add(peer, heard, loop_.Now());
  Apply(judge, "note");
}

bool StateTransfer::ApplyOne(const NamedRouteState& heard, TransferredState& learned) const {
  RouteState belief = heard.state;
  belief.endpoint = 0;
  if (!heard.endpoint.empty()) {
    const auto endpoint = host_.ListedEndpoint(heard.endpoint);
    if (!endpoint) return false;
    belief.endpoint = *endpoint;
  } else if (!host_.ListedDestination(belief.destination)) {
    return false;
  }
  learned.routes.push_back(belief);
  return true;
}

void StateTransfer::Apply(SnapshotMerger& judge, const char* carrier) {
  const std::size_t lanes = judge.route_count();
  TransferredState learned;
  std::size_t unknown = 0;
  for (NamedRouteState& heard : judge.Merge(loop_.Now())) {
    if (ApplyOne(heard, learned)) continue;
    ++unknown;
    if (pending_.size() < config_.limits.learn_lanes) pending_.push_back({std::move(heard), loop_.Now()});
  }
  pending_until_ = loop_.Now() + config_.limits.learn_pending;
  const MergeTally& t = judge.tally();
  log::Info("learned", {{"carrier", carrier},
                        {"lanes", lanes},
                        {"believed", learned.routes.size()},
                        {"waits", t.retry_afters},
                        {"outages", t.outages},
                        {"ramps", t.recoveries},
                        {"paces", t.send_rates},
                        {"latencies", t.latencies},
                        {"barred", t.hedging_disabled},
                        {"left_stale", t.stale},
                        {"left_out_of_range", t.out_of_range},
                        {"left_contradicted", t.contradicted},
                        {"left_too_many", t.too_many},
                        {"waits_cut", t.retry_afters_shortened},
                        {"not_in_pool_yet", unknown}});
  if (!learned.routes.empty()) host_.ApplyState(std::move(learned));
}

// The list that a relay starts with may be old: what it does not name yet may come within seconds.
void StateTransfer::OnEndpointList() {
  if (pending_.empty()) return;
  const Seconds now = loop_.Now();
  if (now > pending_until_) return pending_.clear();
  TransferredState learned;
  std::vector<Pending> rest;
  for (Pending& pending : pending_) {
    NamedRouteState older = pending.route;
    AgeBy(older.state, now - pending.made);
    if (!ApplyOne(older, learned)) rest.push_back(std::move(pending));
  }
  pending_ = std::move(rest);
  if (!learned.routes.empty()) host_.ApplyState(std::move(learned));
}

}  // namespace opalroute::state_transfer
