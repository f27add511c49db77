#include "learning/learning.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute::learning {

Learning::Learning(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                   const Operator::Learn& settings, Host& host)
    : loop_(loop),
      clock_(clock),
      config_(config),
      settings_(settings),
      host_(host),
      source_([this](std::optional<DestinationId>& from, int most) { return Export(from, most); }) {
  const Limits& limits = config.limits;
  if (settings.state) {
    file_ = std::make_unique<StateFile>(config.state_folder, limits.learn_file_bytes);
    LoadState();
    ArmSave();
  }
  if (settings.listen) donor_ = std::make_unique<Donor>(loop, *settings.listen, config.name, source_, limits);
  if (settings.notes && config.peer_listen && config.may_tell_peers) {
    const Notes::Bounds bounds{limits.learn_note_peers, limits.learn_note_answers, limits.learn_note_time};
    const auto nonce = static_cast<std::uint32_t>(config.settings.seed ^ config.settings.seed >> 32);
    notes_ = std::make_unique<Notes>(
        bounds, nonce, [this](int peer, const std::string& bytes) { host_.SendNote(peer, bytes); });
    notes_->AskSome(loop.Now(), static_cast<int>(config.peers.size()), config.own_peer);
  }
  if (settings.from.empty()) return;
  judge_ = std::make_unique<Judge>(RulesOf(), limits.learn_lanes);
  Learner::Owner& owner = *this;
  learner_ = std::make_unique<Learner>(loop, settings.from, config.name, settings.time, limits, owner);
}

Learning::~Learning() { loop_.Cancel(save_timer_); }

Rules Learning::RulesOf() const { return {settings_.longest_wait, config_.settings.ramp_time}; }

std::optional<sockaddr_in> Learning::donor_address() const {
  if (!donor_) return std::nullopt;
  return donor_->address();
}

// ---- out -----------------------------------------------------------------------------------------------

std::vector<Heard> Learning::Export(std::optional<DestinationId>& from, int most) const {
  std::vector<Heard> out;
  for (Belief& b : host_.Beliefs(from, most)) {
    if (b.wait <= 0 && !b.out && !b.back && !b.served && !b.refused && !b.measured && !b.barred) continue;
    Heard heard;
    if (b.endpoint != 0) heard.endpoint = host_.NameOf(b.endpoint);
    heard.belief = std::move(b);
    out.push_back(std::move(heard));
  }
  return out;
}

void Learning::ArmSave() {
  save_timer_ = loop_.At(loop_.Now() + config_.limits.learn_file_every, [this] {
    save_timer_ = 0;
    ArmSave();
    if (gathering_) return;
    gathered_.clear();
    gathering_ = std::make_unique<Slices>(
        loop_, source_,
        [this](std::vector<Heard> lanes) {
          for (Heard& heard : MostUrgent(std::move(lanes))) gathered_.push_back(std::move(heard));
          return gathered_.size() < config_.limits.learn_lanes;
        },
        [this] {
          Save();
          loop_.Retire(std::exchange(gathering_, nullptr));
        });
  });
}

// Nothing urgent twice in a row is not written again: most of the time the disk is left alone.
void Learning::Save() {
  gathered_ = MostUrgent(std::move(gathered_));
  const bool some = !gathered_.empty();
  if (!some && !file_holds_some_) return;
  if (file_->Save(config_.name, clock_.Micros(), gathered_)) {
    file_holds_some_ = some;
  } else {
    log::Warn("learn_not_saved", {{"path", file_->path()}});
  }
}

// ---- in ------------------------------------------------------------------------------------------------

void Learning::LoadState() {
  const StateFile::Saved saved = file_->Load();
  // Time that this process did not run is age like any other. Where the machine has booted and its wall clock
  // is behind it adds none.
  const double down = std::max(0.0, static_cast<double>(clock_.Micros() - saved.written_at) / 1e6);
  file_holds_some_ = !saved.lanes.empty();
  if (saved.end == "none") return;
  Judge judge(RulesOf(), config_.limits.learn_lanes);
  judge.OutOfRange(saved.out_of_range);
  for (const Heard& heard : saved.lanes) judge.Add(0, heard, loop_.Now() - down);
  log::Info("learn_heard",
            {{"carrier", "state"}, {"end", saved.end}, {"lanes", saved.lanes.size()}, {"age_s", down}});
  Tell(judge, "state");
}

void Learning::OnHeard(int donor, const Heard& heard, Seconds made) { judge_->Add(donor, heard, made); }

void Learning::OnAllEnded(const std::vector<Learner::Report>& reports) {
  for (const Learner::Report& r : reports) {
    judge_->OutOfRange(r.out_of_range);
    log::Info("learn_heard", {{"carrier", "tcp"},
                              {"from", net::FormatAddress(r.address)},
                              {"name", r.name},
                              {"end", r.end},
                              {"lanes", r.lanes},
                              {"bytes", r.bytes},
                              {"ms", r.took * 1000},
                              {"donor_runs_s", r.running}});
  }
  const auto judge = std::exchange(judge_, nullptr);
  // Whoever asks sees that it is done before it is told; the learner itself is still on the stack.
  loop_.Retire(std::exchange(learner_, nullptr));
  Tell(*judge, "tcp");
}

bool Learning::TakeNote(int peer, std::string_view bytes) {
  if (!notes_) return false;
  const Notes::Taken taken = notes_->Take(loop_.Now(), peer, bytes);
  if (taken.kind == Notes::Kind::kNotOurs) return false;
  if (taken.kind == Notes::Kind::kAnswer) TakeAnswer(peer, taken.note);
  if (taken.kind != Notes::Kind::kAsks || askers_.size() >= config_.peers.size()) return true;
  askers_.push_back({peer, taken.note.nonce});
  if (answering_) return true;
  answering_ = std::make_unique<Slices>(
      loop_, source_,
      [this](std::vector<Heard> lanes) {
        for (Heard& heard : MostUrgent(std::move(lanes))) urgent_.push_back(std::move(heard));
        return true;
      },
      [this] {
        urgent_ = MostUrgent(std::move(urgent_));
        for (const Asked& asked : std::exchange(askers_, {}))
          notes_->Answer(asked.peer, asked.nonce, urgent_);
        urgent_.clear();
        loop_.Retire(std::exchange(answering_, nullptr));
      });
  return true;
}

void Learning::TakeAnswer(int peer, const Note& note) {
  Judge judge(RulesOf(), config_.limits.learn_lanes);
  judge.OutOfRange(note.out_of_range);
  for (const Heard& heard : note.lanes) judge.Add(peer, heard, loop_.Now());
  Tell(judge, "note");
}

bool Learning::TellOne(const Heard& heard, Learned& learned) const {
  Belief belief = heard.belief;
  belief.endpoint = 0;
  if (!heard.endpoint.empty()) {
    const auto endpoint = host_.ListedEndpoint(heard.endpoint);
    if (!endpoint) return false;
    belief.endpoint = *endpoint;
  } else if (!host_.ListedDestination(belief.destination)) {
    return false;
  }
  learned.beliefs.push_back(belief);
  return true;
}

void Learning::Tell(Judge& judge, const char* carrier) {
  const std::size_t lanes = judge.lanes();
  Learned learned;
  std::size_t unknown = 0;
  for (Heard& heard : judge.Decide(loop_.Now())) {
    if (TellOne(heard, learned)) continue;
    ++unknown;
    if (pending_.size() < config_.limits.learn_lanes) pending_.push_back({std::move(heard), loop_.Now()});
  }
  pending_until_ = loop_.Now() + config_.limits.learn_pending;
  const Tally& t = judge.tally();
  log::Info("learned", {{"carrier", carrier},
                        {"lanes", lanes},
                        {"believed", learned.beliefs.size()},
                        {"waits", t.waits},
                        {"outages", t.outages},
                        {"ramps", t.ramps},
                        {"paces", t.paces},
                        {"latencies", t.latencies},
                        {"barred", t.barred},
                        {"left_stale", t.stale},
                        {"left_out_of_range", t.out_of_range},
                        {"left_contradicted", t.contradicted},
                        {"left_too_many", t.too_many},
                        {"waits_cut", t.waits_cut},
                        {"not_in_pool_yet", unknown}});
  if (!learned.beliefs.empty()) host_.Believe(std::move(learned));
}

// The list that a relay starts with may be old: what it does not name yet may come within seconds.
void Learning::OnPoolNews() {
  if (pending_.empty()) return;
  const Seconds now = loop_.Now();
  if (now > pending_until_) return pending_.clear();
  Learned learned;
  std::vector<Pending> rest;
  for (Pending& pending : pending_) {
    Heard older = pending.heard;
    Age(older.belief, now - pending.made);
    if (!TellOne(older, learned)) rest.push_back(std::move(pending));
  }
  pending_ = std::move(rest);
  if (!learned.beliefs.empty()) host_.Believe(std::move(learned));
}

}  // namespace opalroute::learning
