// A page of a running relay, as its --admin-listen tells it.
#pragma once

#include <netinet/in.h>

#include <nlohmann/json.hpp>
#include <string>

namespace opalroute::cli {

// Null where nobody answers in time, or with anything but JSON.
nlohmann::ordered_json FetchPage(const sockaddr_in& from, const std::string& path);

}  // namespace opalroute::cli
