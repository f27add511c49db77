#include "state_transfer/state_transfer.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute::state_transfer {

namespace {

bool IsEmpty(const RouteState& state) {
  return state.retry_after <= 0 && !state.failure_age && !state.recovery_age && !state.success_age &&
         !state.rejection_age && !state.latency_age && !state.hedging_disabled_age;
}

void AppendMostUrgent(std::vector<NamedRouteState>& routes, std::vector<NamedRouteState> slice) {
  for (NamedRouteState& route : MostUrgent(std::move(slice))) routes.push_back(std::move(route));
}

void LogReport(const SnapshotClient::Report& report) {
  log::Info("snapshot_received", {{"carrier", "tcp"},
                                  {"from", net::FormatAddress(report.address)},
                                  {"name", report.name},
                                  {"result", NameOf(report.result)},
                                  {"routes", report.route_count},
                                  {"bytes", report.bytes},
                                  {"ms", report.duration * 1000},
                                  {"server_uptime_s", report.uptime}});
}

}  // namespace

StateTransfer::StateTransfer(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                             const OperatorSettings::StateTransfer& settings, Host& host)
    : loop_(loop),
      clock_(clock),
      config_(config),
      settings_(settings),
      host_(host),
      source_([this](std::optional<DestinationId>& from, int max_destinations) {
        return Export(from, max_destinations);
      }),
      save_timer_(loop) {
  if (settings.use_state_folder) StartFile();
  if (settings.use_datagrams && config.peer_listen && config.may_gossip) StartDatagrams();
  if (!settings.donors.empty()) StartClient();
}

StateTransfer::~StateTransfer() = default;

void StateTransfer::Serve() {
  server_ = std::make_unique<SnapshotServer>(loop_, *settings_.listen, config_.name, source_, config_.limits);
}

void StateTransfer::StopServing() {
  if (server_) server_->StopAccepting();
}

void StateTransfer::StartFile() {
  file_ = std::make_unique<SnapshotFile>(config_.state_folder, config_.limits.snapshot_file_bytes);
  LoadState();
  ScheduleSave();
}

void StateTransfer::StartDatagrams() {
  const Limits& limits = config_.limits;
  const DatagramExchange::Bounds bounds{limits.transfer_datagram_peers, limits.transfer_datagram_answers,
                                        limits.transfer_datagram_timeout};
  const auto nonce = static_cast<std::uint32_t>(config_.settings.seed ^ config_.settings.seed >> 32);
  datagrams_ = std::make_unique<DatagramExchange>(
      bounds, nonce, [this](int peer, const std::string& bytes) { host_.SendDatagram(peer, bytes); });
  datagrams_->SendRequests(loop_.Now(), static_cast<int>(config_.peers.size()), config_.own_peer);
}

void StateTransfer::StartClient() {
  merger_ = std::make_unique<SnapshotMerger>(MakeMergeOptions(), config_.limits.snapshot_routes);
  SnapshotClient::Owner& owner = *this;
  client_ = std::make_unique<SnapshotClient>(loop_, settings_.donors, config_.name, settings_.timeout,
                                             config_.limits, owner);
}

MergeOptions StateTransfer::MakeMergeOptions() const {
  return {settings_.max_retry_after, config_.settings.slow_start_duration};
}

std::optional<sockaddr_in> StateTransfer::snapshot_address() const {
  if (!server_ || !server_->accepts()) return std::nullopt;
  return server_->address();
}

// ---- Answering and saving ---------------------------------------------------------------------------------

std::vector<NamedRouteState> StateTransfer::Export(std::optional<DestinationId>& from,
                                                   int max_destinations) const {
  std::vector<NamedRouteState> routes;
  for (const RouteState& state : host_.ExportRouteStates(from, max_destinations)) {
    if (IsEmpty(state)) continue;
    NamedRouteState route;
    if (state.endpoint != 0) route.endpoint = host_.EndpointName(state.endpoint);
    route.state = state;
    routes.push_back(std::move(route));
  }
  return routes;
}

void StateTransfer::ScheduleSave() {
  save_timer_.Start(loop_.Now() + config_.limits.snapshot_save_interval, [this] {
    ScheduleSave();
    if (!exporting_) ExportForSave();
  });
}

void StateTransfer::ExportForSave() {
  exported_.clear();
  exporting_ = std::make_unique<SnapshotSlices>(
      loop_, source_,
      [this](std::vector<NamedRouteState> slice) {
        AppendMostUrgent(exported_, std::move(slice));
        return exported_.size() < config_.limits.snapshot_routes;
      },
      [this] {
        Save();
        loop_.Retire(std::exchange(exporting_, nullptr));
      });
}

// Does not write if neither the existing file nor the new one has routes, to avoid needless disk writes.
void StateTransfer::Save() {
  exported_ = MostUrgent(std::move(exported_));
  const bool has_routes = !exported_.empty();
  if (!has_routes && !file_has_routes_) return;
  if (file_->Save(config_.name, clock_.Micros(), exported_)) {
    file_has_routes_ = has_routes;
  } else {
    log::Warn("snapshot_not_saved", {{"path", file_->path()}});
  }
}

bool StateTransfer::OnDatagram(int peer, std::string_view bytes) {
  if (!datagrams_) return false;
  const DatagramExchange::Received received = datagrams_->Receive(loop_.Now(), peer, bytes);
  switch (received.kind) {
    case DatagramExchange::Kind::kOtherProtocol:
      return false;
    case DatagramExchange::Kind::kAnswer:
      OnAnswer(peer, received.datagram);
      break;
    case DatagramExchange::Kind::kRequest:
      OnRequest({peer, received.datagram.nonce});
      break;
    case DatagramExchange::Kind::kIgnored:
      break;
  }
  return true;
}

void StateTransfer::OnRequest(const Requester& requester) {
  if (requesters_.size() >= config_.peers.size()) return;
  requesters_.push_back(requester);
  if (answering_) return;
  answering_ = std::make_unique<SnapshotSlices>(
      loop_, source_,
      [this](std::vector<NamedRouteState> slice) {
        AppendMostUrgent(urgent_, std::move(slice));
        return true;
      },
      [this] { AnswerRequesters(); });
}

void StateTransfer::AnswerRequesters() {
  urgent_ = MostUrgent(std::move(urgent_));
  for (const Requester& requester : std::exchange(requesters_, {})) {
    datagrams_->Answer(requester.peer, requester.nonce, urgent_);
  }
  urgent_.clear();
  loop_.Retire(std::exchange(answering_, nullptr));
}

// ---- Receiving and applying -------------------------------------------------------------------------------

void StateTransfer::LoadState() {
  const SnapshotFile::Saved saved = file_->Load();
  file_has_routes_ = !saved.routes.empty();
  if (saved.result == SnapshotResult::kNoFile) return;
  // The downtime adds to the ages. It counts as zero if the wall clock is behind the time of saving, which
  // can happen after a boot.
  const double age = std::max(0.0, static_cast<double>(clock_.Micros() - saved.written_at) / 1e6);
  SnapshotMerger merger(MakeMergeOptions(), config_.limits.snapshot_routes);
  merger.CountOutOfRange(saved.out_of_range);
  for (const NamedRouteState& route : saved.routes) merger.Add(0, route, loop_.Now() - age);
  log::Info("snapshot_received", {{"carrier", "state"},
                                  {"result", NameOf(saved.result)},
                                  {"routes", saved.routes.size()},
                                  {"age_s", age}});
  Apply(merger, "state");
}

void StateTransfer::OnRouteState(int server, const NamedRouteState& route, Seconds observed_at) {
  merger_->Add(server, route, observed_at);
}

void StateTransfer::OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& reports) {
  for (const SnapshotClient::Report& report : reports) {
    merger_->CountOutOfRange(report.out_of_range);
    LogReport(report);
  }
  const auto merger = std::exchange(merger_, nullptr);
  // done() must be true before the state is applied. The client is retired because its Finish is still
  // running.
  loop_.Retire(std::exchange(client_, nullptr));
  Apply(*merger, "tcp");
}

void StateTransfer::OnAnswer(int peer, const Datagram& answer) {
  SnapshotMerger merger(MakeMergeOptions(), config_.limits.snapshot_routes);
  merger.CountOutOfRange(answer.out_of_range);
  for (const NamedRouteState& route : answer.routes) merger.Add(peer, route, loop_.Now());
  Apply(merger, "note");
}

// Appends the route's state with this process's id of its endpoint. Returns false if the endpoint list does
// not contain the endpoint or the destination.
bool StateTransfer::Resolve(const NamedRouteState& route, TransferredState& state) const {
  RouteState resolved = route.state;
  resolved.endpoint = 0;
  if (!route.endpoint.empty()) {
    const auto endpoint = host_.FindListedEndpoint(route.endpoint);
    if (!endpoint) return false;
    resolved.endpoint = *endpoint;
  } else if (!host_.IsDestinationListed(resolved.destination)) {
    return false;
  }
  state.routes.push_back(resolved);
  return true;
}

// Applies what is still valid. States of endpoints that are not in the list yet wait for OnEndpointList.
void StateTransfer::Apply(SnapshotMerger& merger, const char* carrier) {
  const std::size_t route_count = merger.route_count();
  TransferredState state;
  std::size_t not_listed = 0;
  for (NamedRouteState& route : merger.Merge(loop_.Now())) {
    if (Resolve(route, state)) continue;
    ++not_listed;
    if (pending_.size() < config_.limits.snapshot_routes) pending_.push_back({std::move(route), loop_.Now()});
  }
  pending_until_ = loop_.Now() + config_.limits.pending_routes_lifetime;
  const MergeTally& tally = merger.tally();
  log::Info("state_merged", {{"carrier", carrier},
                             {"routes", route_count},
                             {"applied", state.routes.size()},
                             {"retry_afters", tally.retry_afters},
                             {"outages", tally.outages},
                             {"slow_starts", tally.recoveries},
                             {"send_rates", tally.send_rates},
                             {"latencies", tally.latencies},
                             {"hedging_disabled", tally.hedging_disabled},
                             {"ignored_stale", tally.stale},
                             {"ignored_out_of_range", tally.out_of_range},
                             {"ignored_contradicted", tally.contradicted},
                             {"ignored_too_many", tally.too_many},
                             {"retry_afters_shortened", tally.retry_afters_shortened},
                             {"not_listed_yet", not_listed}});
  if (!state.routes.empty()) host_.ApplyState(std::move(state));
}

// The endpoint list at the start may be old, and a newer one often arrives within seconds.
void StateTransfer::OnEndpointList() {
  if (pending_.empty()) return;
  const Seconds now = loop_.Now();
  if (now > pending_until_) return pending_.clear();
  TransferredState state;
  std::vector<Pending> unresolved;
  for (Pending& pending : pending_) {
    NamedRouteState aged = pending.route;
    AgeBy(aged.state, now - pending.since);
    if (!Resolve(aged, state)) unresolved.push_back(std::move(pending));
  }
  pending_ = std::move(unresolved);
  if (!state.routes.empty()) host_.ApplyState(std::move(state));
}

}  // namespace opalroute::state_transfer
