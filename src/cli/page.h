// A page of a running relay, as its --admin-listen tells it.
#pragma once

#include <netinet/in.h>

#include <nlohmann/json.hpp>
#include <string>

namespace opalroute::cli {

// What a running relay answered to POST; status 0: nobody answered in time.
struct PostAnswer {
  int status = 0;
  std::string text;
};
PostAnswer PostPage(const sockaddr_in& to, const std::string& path, const std::string& body);

// Null where nobody answers in time, or with anything but JSON.
nlohmann::ordered_json FetchPage(const sockaddr_in& from, const std::string& path);

}  // namespace opalroute::cli
