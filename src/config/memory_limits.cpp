#include "config/memory_limits.h"

#include <algorithm>

namespace opalroute::config {
namespace {

constexpr double kUsableShare = 0.8;  // the rest is for allocator overhead and what is not counted
// The program with its libraries, and its tables for 3,200 endpoints.
constexpr std::size_t kProcessBytes = 10'000'000;
// Files take at most a quarter: a state folder that is larger lies on a disk.
constexpr std::size_t kMaxFilesDivisor = 4;
constexpr std::size_t kLeastBufferBytes = 2'000'000;
// Held by a connection that is served: its objects, and the first block of each buffer.
constexpr std::size_t kConnectionBytes = std::size_t{10} * 1024;

constexpr double kClientsShare = 0.4;
constexpr double kRequestsShare = 0.25;
constexpr double kEndpointsShare = 0.2;
constexpr double kDiscoveryShare = 0.1;
constexpr double kOperatorsShare = 0.05;

}  // namespace

void ApplyMemoryLimit(std::size_t memory_bytes, Limits& limits) {
  const auto usable = static_cast<std::size_t>(kUsableShare * static_cast<double>(memory_bytes));
  const std::size_t files = std::min(limits.disk_bytes, usable / kMaxFilesDivisor);
  const std::size_t fixed = kProcessBytes + files;
  limits.memory_is_scarce = usable < fixed + kLeastBufferBytes;
  const std::size_t buffers = limits.memory_is_scarce ? kLeastBufferBytes : usable - fixed;
  const auto share = [buffers](double of) {
    return static_cast<std::size_t>(of * static_cast<double>(buffers));
  };
  limits.memory = {share(kClientsShare), share(kRequestsShare), share(kEndpointsShare),
                   share(kDiscoveryShare), share(kOperatorsShare)};
  limits.client_connections =
      std::min(limits.client_connections, static_cast<int>(limits.memory.clients / kConnectionBytes));
}

}  // namespace opalroute::config
