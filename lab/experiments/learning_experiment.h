// A relay that is started beside a running one while their partner is shut, with and without learning from
// it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace opalroute::lab {

struct LearningRun {
  std::uint64_t seed = 1;
  bool outage = true;
  enum class Carrier { kNone, kTcp, kNotes, kState } carrier = Carrier::kNone;
  bool rated = true;  // the list says what the partner takes
};

struct LearningResult {
  int newcomer_calls =
      0;                  // in the first 2 s after the partner opened (no outage: after the newcomer's start)
  int newcomer_shut = 0;  // sent by it while the partner was shut
  int in_wait = 0;        // its calls in a wait that was told, to any relay, before it started
  int own_breaches = 0;   // calls of any relay in a wait that it was told itself
  int collapses = 0;
  int twice = 0;          // payments that took effect twice
  double worth = 0;       // delivered within the aim, of that due in the first 10 s
  double asked = 0;       // all that was due then
  int lost = 0;           // taken on, and neither delivered nor ended by a notice at the end
  std::vector<int> load;  // calls a second that reached the partner, by second after it opened
};

// `folder` is made and removed.
LearningResult RunLearning(const LearningRun& run, const std::string& folder);

}  // namespace opalroute::lab
