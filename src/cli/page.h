// Calls the admin pages of a running relay (its --admin-listen).
#pragma once

#include <netinet/in.h>

#include <nlohmann/json.hpp>
#include <string>

namespace opalroute::cli {

struct PostResponse {
  int status = 0;  // 0: no response in time
  std::string text;
};
PostResponse PostPage(const sockaddr_in& to, const std::string& path, const std::string& body);

// Returns the page, null without a response of status 200 in time, or a discarded value if the page is not
// JSON.
nlohmann::ordered_json FetchPage(const sockaddr_in& from, const std::string& path);

}  // namespace opalroute::cli
