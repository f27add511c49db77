#include "zones/agreement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace opalroute::zones {

namespace {

int BitsOf(std::uint32_t bits) { return __builtin_popcount(bits); }

}  // namespace

void Agreement::Add(Seconds seen, tier::Peer from, std::uint64_t life, std::uint64_t number,
                    const Report& report) {
  if (report.size() != static_cast<std::size_t>(zones_)) return;
  auto kept =
      std::find_if(reports_.begin(), reports_.end(), [from](const Kept& k) { return k.from == from; });
  if (kept == reports_.end()) kept = reports_.insert(kept, Kept{from, 0, 0, 0, {}});
  if (std::tie(life, number) > std::tie(kept->life, kept->number)) *kept = {from, seen, life, number, report};
}

// What is as old as this says nothing of anything any more. Danger: the number of one that is forgotten is
// forgotten too: a replay would count. Notes are checked before.
void Agreement::Forget(Seconds now) {
  const Seconds oldest = now - ZoneReport::kLongestReported;
  reports_.erase(std::remove_if(reports_.begin(), reports_.end(),
                                [oldest](const Kept& kept) { return kept.seen < oldest; }),
                 reports_.end());
}

View Agreement::Of(Seconds now, int zone) const { return Of(now, zone, rules_.fresh, -1e9); }

View Agreement::Of(Seconds now, int zone, Seconds fresh, Seconds since) const {
  View view;
  std::uint32_t bad = 0, good = 0, served = 0, seen = 0;
  int by_wrong[6] = {};
  for (const Kept& kept : reports_) {
    const ZoneReport& r = kept.report[static_cast<std::size_t>(zone)];
    const Seconds older = now - kept.seen;
    if (kept.seen < since) continue;
    if (older < ZoneReport::kLongestReported) seen |= r.seen;
    if (r.good_age + older < rules_.fresh) served |= r.good;
    if (r.Accuses(rules_.bad_for, older)) {
      ++view.accusers;
      view.words += BitsOf(r.bad);
      ++by_wrong[static_cast<int>(r.wrong)];
      bad |= r.bad;
    } else if (r.Vouches(fresh, older)) {
      ++view.vouchers;
      good |= r.good;
    }
  }
  view.wrong = static_cast<Wrong>(std::max_element(std::begin(by_wrong), std::end(by_wrong)) - by_wrong);
  // Danger: where calls fail by chance, or are turned away above a limit, whoever accuses has been served
  // too. A partner that anybody was served by a moment ago is not out.
  good |= served;
  view.good_partners = BitsOf(good);
  view.bad_partners = BitsOf(bad & ~good);
  view.partners = BitsOf(seen | bad | good);
  return view;
}

int Agreement::QuorumOf(double parts) const {
  if (parts < 2) return 1;
  return std::min(1 + static_cast<int>(std::ceil(rules_.quorum * parts)), rules_.most_quorum);
}

bool Agreement::Failing(Seconds now, int zone, const View& v, double parts, Seconds control_since,
                        bool moved) const {
  if (v.accusers < QuorumOf(parts) || v.vouchers > rules_.against * v.accusers) return false;
  if (v.bad_partners < rules_.least_partners || v.words < rules_.least_words) return false;
  if (v.wrong == Wrong::kSlow) return false;  // it serves; told, not left
  // Danger: above their limits most of a zone's partners may turn all away for a while. A zone spares nobody.
  const bool away = v.wrong == Wrong::kTurnedAway;
  if (away && v.good_partners > 0) return false;
  if (v.bad_partners < (away && moved ? 1 : rules_.partners) * v.partners) return false;
  // Danger: an accusation lasts for longer than what is served since a stage began. Held against all accusers
  // the control came short until most had spoken anew; so it is held against those who have.
  const int spoken = Of(now, zone, rules_.fresh, control_since).accusers;
  const double enough = rules_.control * std::max(spoken, QuorumOf(parts));
  for (int other = 0; other < zones_; ++other) {
    if (other == zone) continue;
    const View control = Of(now, other, std::min(rules_.control_for, now - control_since), control_since);
    if (control.vouchers >= rules_.well * control.accusers && control.vouchers >= enough) return true;
  }
  return false;  // all at once: that is no zone's trouble
}

bool Agreement::Contradicted(const View& v) const {
  return v.vouchers > 0 && v.vouchers > rules_.against * v.accusers;
}

}  // namespace opalroute::zones
