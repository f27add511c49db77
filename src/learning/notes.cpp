#include "learning/notes.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

namespace opalroute::learning {

std::optional<double> Urgency(const Belief& b) {
  constexpr double kClass = 2 * kLongestAge;
  if (b.wait > 0) return kLongestAge - std::min(b.wait, kLongestAge);
  if (b.out) return kClass + *b.out;
  if (b.back) return 2 * kClass + *b.back;
  return std::nullopt;
}

std::vector<Heard> MostUrgent(std::vector<Heard> lanes) {
  lanes.erase(std::remove_if(lanes.begin(), lanes.end(), [](const Heard& h) { return !Urgency(h.belief); }),
              lanes.end());
  std::stable_sort(lanes.begin(), lanes.end(),
                   [](const Heard& a, const Heard& b) { return *Urgency(a.belief) < *Urgency(b.belief); });
  return lanes;
}

void Notes::AskSome(Seconds now, int peers, int self) {
  std::vector<int> others(static_cast<std::size_t>(std::max(0, peers)));
  std::iota(others.begin(), others.end(), 0);
  others.erase(std::remove(others.begin(), others.end(), self), others.end());
  std::mt19937 draw(nonce_);
  std::shuffle(others.begin(), others.end(), draw);
  others.resize(std::min(others.size(), static_cast<std::size_t>(bounds_.peers_asked)));
  asked_at_ = now;
  asked_ = {others.begin(), others.end()};
  Note ask;
  ask.nonce = nonce_;
  ask.asks = true;
  std::size_t written = 0;
  for (const int peer : others) send_(peer, WriteNote(ask, written));
}

void Notes::Answer(int peer, std::uint32_t nonce, const std::vector<Heard>& urgent) const {
  Note note;
  note.nonce = nonce;
  note.lanes = urgent;
  for (int sent = 0; sent < bounds_.answers && !note.lanes.empty(); ++sent) {
    std::size_t written = 0;
    const std::string bytes = WriteNote(note, written);
    if (written == 0) {  // a name too long for a datagram
      note.lanes.erase(note.lanes.begin());
      continue;
    }
    send_(peer, bytes);
    note.lanes.erase(note.lanes.begin(), note.lanes.begin() + static_cast<std::ptrdiff_t>(written));
  }
}

Notes::Taken Notes::Take(Seconds now, int peer, std::string_view bytes) const {
  Taken taken;
  auto note = ReadNote(bytes);
  if (!note) return taken;
  taken.note = std::move(*note);
  taken.kind = Kind::kPassedOver;
  if (taken.note.version != kVersion) return taken;
  if (taken.note.asks) {
    taken.kind = Kind::kAsks;
  } else if (asked_.count(peer) > 0 && taken.note.nonce == nonce_ && now <= asked_at_ + bounds_.answer_time) {
    taken.kind = Kind::kAnswer;
  }
  return taken;
}

}  // namespace opalroute::learning
