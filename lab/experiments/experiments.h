// Experiments of one subsystem each, as commands of opalroute-lab. They print Markdown and return the exit
// status: 1 if what they claim does not hold.
#pragma once

#include <cstdint>
#include <string>

namespace opalroute::lab {

// Relays that start while their partner is shut, with and without learning, medians over seeds.
int LearningTable(int seeds);

// One snapshot of so many destinations from process to process: time, bytes, the donor's CPU and pauses.
int SnapshotTable(int destinations, int runs);

// SRV beside the partner list, over so many replaced machines; what names and a large answer cost.
int SrvTable(int changes);

// So many scripts of faults (lab/script.h), the first drawn from that seed, so many at once.
int ScriptTable(std::uint64_t first, int count, int jobs);

struct SoakOrder {
  std::uint64_t first = 1;  // seed
  int count = 1, jobs = 1;
  std::string program, library;  // as SoakOptions has them
  std::string folder;            // of all runs; what was sound is removed again
};

// Plays the soak (lab/soak/soak.h). Returns 1 if a seed broke a rule or could not be played, 3 if one is
// void.
int SoakTable(const SoakOrder& order);

// What the relays' logs under a run's folder say of one message, line by line.
std::string FollowMessage(const std::string& folder, const std::string& id);

}  // namespace opalroute::lab
