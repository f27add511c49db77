// One connection of an emulated server that writes an earlier response once more: remembers the responses and
// decides which requests get a stray one.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "lab/scenario.h"

namespace opalroute::lab {

struct StrayResponse {
  std::string bytes;
  Seconds delay = 0;      // from the request's last byte
  Seconds own_delay = 0;  // the same for the own response, unless it is unchanged
};

class StrayResponses {
 public:
  // `share`: of the requests on connections that have carried one before.
  StrayResponses(const StrayResponsePlan& plan, double share, pcg32& random)
      : plan_(plan), share_(share), random_(random) {}

  void OnResponseWritten(const std::string& bytes);
  // A request has been read. Returns the stray response that it gets, if it gets one.
  std::optional<StrayResponse> OnRequest();

 private:
  static constexpr std::size_t kMaxRemembered = 16;

  const StrayResponsePlan& plan_;
  const double share_;
  pcg32& random_;
  std::vector<std::string> written_;
};

}  // namespace opalroute::lab
