#include "decision/random.h"

namespace opalroute::decision {
namespace {

constexpr double kJitter = 0.25;  // share of a wait, in either direction

}  // namespace

std::size_t Random::UniformBelow(std::size_t n) { return static_cast<std::size_t>(Next() % n); }

double Random::Uniform() { return static_cast<double>(Next() >> 11) * 0x1p-53; }

double Random::JitterFactor() { return 1 - kJitter + 2 * kJitter * Uniform(); }

std::uint64_t Random::Next() {
  std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace opalroute::decision
