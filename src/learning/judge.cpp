#include "learning/judge.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace opalroute::learning {

double HealthWeight(Seconds age) { return std::exp2(-std::max(0.0, age) / kHealthHalfLife); }

void Judge::Add(int donor, const Heard& heard, Seconds made) {
  const Lane key{heard.belief.destination, heard.endpoint};
  auto it = lanes_.find(key);
  if (it == lanes_.end()) {
    if (lanes_.size() >= most_) {
      ++tally_.too_many;
      return;
    }
    it = lanes_.emplace(key, std::vector<Told>()).first;
  }
  // A donor that speaks of a lane again has thought better of it.
  for (Told& told : it->second) {
    if (told.donor != donor) continue;
    told = {donor, made, heard.belief};
    return;
  }
  it->second.push_back({donor, made, heard.belief});
}

namespace {

void Least(std::optional<Seconds>& to, const std::optional<Seconds>& age) {
  if (age && (!to || *age < *to)) to = age;
}

}  // namespace

// All that was told of one lane as one belief, with its ages as of now; then what still counts of it.
Belief Judge::Weigh(const std::vector<Told>& told, Seconds now) {
  Belief all;
  for (const Told& t : told) {
    Belief b = t.belief;
    if (b.wait > rules_.longest_wait) {
      b.wait = rules_.longest_wait;
      ++tally_.waits_cut;
    }
    learning::Age(b, std::max(0.0, now - t.made));
    all.destination = b.destination;
    all.wait = std::max(all.wait, b.wait);
    Least(all.out, b.out);
    Least(all.back, b.back);
    Least(all.served, b.served);
    Least(all.barred, b.barred);
    if (b.refused && (!all.refused || b.pace < all.pace)) {
      all.refused = b.refused;
      all.pace = b.pace;
    }
    if (b.measured && (!all.measured || *b.measured < *all.measured)) {
      all.measured = b.measured;
      all.latency = b.latency;
    }
  }
  Belief counts;
  counts.destination = all.destination;
  counts.wait = all.wait;
  if (all.out && all.served && *all.served < *all.out) {  // it has come back since
    Least(all.back, all.served);
    all.out.reset();
    ++tally_.contradicted;
  }
  // Danger: an outage that was seen twelve seconds ago may have ended just now. To take it for a slow start
  // under way would let the ramp end long before the partner is warm; a trial finds out, and begins a ramp of
  // its own.
  if (all.out && HealthWeight(*all.out) >= kLeastWeight) counts.out = all.out;
  if (all.out && !counts.out) ++tally_.stale;
  if (all.back && *all.back < rules_.ramp_time) Least(counts.back, all.back);
  if (all.back && *all.back >= rules_.ramp_time) ++tally_.stale;
  if (all.refused && *all.refused <= kPaceRegained * rules_.ramp_time) {
    counts.refused = all.refused;
    counts.pace = all.pace;
  } else if (all.refused) {
    ++tally_.stale;
  }
  if (all.measured && *all.measured <= kLatencyLasts) {
    counts.measured = all.measured;
    counts.latency = all.latency;
  } else if (all.measured) {
    ++tally_.stale;
  }
  if (all.barred && HealthWeight(*all.barred) >= kBarredWeight) counts.barred = all.barred;
  if (all.barred && !counts.barred) ++tally_.stale;
  return counts;
}

std::vector<Heard> Judge::Decide(Seconds now) {
  std::vector<Heard> decided;
  for (const auto& [lane, told] : lanes_) {
    const Belief b = Weigh(told, now);
    tally_.waits += b.wait > 0;
    tally_.outages += b.out.has_value();
    tally_.ramps += b.back.has_value();
    tally_.paces += b.refused.has_value();
    tally_.latencies += b.measured.has_value();
    tally_.barred += b.barred.has_value();
    if (b.wait > 0 || b.out || b.back || b.refused || b.measured || b.barred)
      decided.push_back({lane.second, b});
  }
  lanes_.clear();
  return decided;
}

}  // namespace opalroute::learning
