// Experiments of one subsystem each, as commands of opalroute-lab. They print Markdown and return the exit
// status: 1 if what they claim does not hold.
#pragma once

#include <cstdint>

namespace opalroute::lab {

// Relays that start while their partner is shut, with and without learning, medians over seeds.
int LearningTable(int seeds);

// One snapshot of so many destinations from process to process: time, bytes, the donor's CPU and pauses.
int SnapshotTable(int destinations, int runs);

// SRV beside the partner list, over so many replaced machines; what names and a large answer cost.
int SrvTable(int changes);

// So many scripts of faults (lab/script.h), the first drawn from that seed, so many at once.
int ScriptTable(std::uint64_t first, int count, int jobs);

}  // namespace opalroute::lab
