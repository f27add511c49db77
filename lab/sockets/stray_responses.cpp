#include "lab/sockets/stray_responses.h"

#include "lab/draw.h"

namespace opalroute::lab {

void StrayResponses::OnResponseWritten(const std::string& bytes) {
  if (share_ > 0 && written_.size() < kMaxRemembered) return written_.push_back(bytes);
  if (share_ > 0) written_.back() = bytes;
}

std::optional<StrayResponse> StrayResponses::OnRequest() {
  if (written_.empty() || DrawUniform(random_) >= share_) return std::nullopt;
  const auto count = static_cast<std::uint32_t>(written_.size());
  StrayResponse stray;
  stray.bytes = plan_.repeats_latest ? written_.back() : written_[random_(count)];
  stray.delay = DrawFrom(plan_.delay, random_);
  stray.own_delay = DrawFrom(plan_.own_delay, random_);
  return stray;
}

}  // namespace opalroute::lab
