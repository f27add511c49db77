#include "cli/zones_command.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/page.h"
#include "net/address.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;

// Exit statuses
constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kInvalidAddress = 2;

std::string Text(const ordered_json& row, const char* key) { return row.at(key).get<std::string>(); }
long Integer(const ordered_json& row, const char* key) { return row.at(key).get<long>(); }
double Number(const ordered_json& row, const char* key) { return row.at(key).get<double>(); }

void PrintMembership(const ordered_json& page) {
  const ordered_json& members = page.at("tier");
  std::printf("%s of %ld relays: %ld live, %ld suspected, %ld unheard, %ld gone; shares are of %.0f parts\n",
              Text(page, "relay").c_str(), Integer(members, "relays"), Integer(members, "live"),
              Integer(members, "suspected"), Integer(members, "unheard"), Integer(members, "gone"),
              Number(members, "parts"));
}

void PrintHeader() {
  std::printf("%-12s %-10s %8s %6s %9s %6s %-6s %9s %9s %17s  %s\n", "zone", "stage", "for s", "round",
              "relapses", "share", "scout", "accusers", "vouchers", "partners failing", "why");
}

void PrintZone(const ordered_json& zone) {
  const std::string failing =
      std::to_string(Integer(zone, "partners_failing")) + " of " + std::to_string(Integer(zone, "partners"));
  std::printf("%-12s %-10s %8.1f %6ld %9ld %6.2f %-6s %9ld %9ld %17s  %s\n", Text(zone, "zone").c_str(),
              Text(zone, "stage").c_str(), Number(zone, "for_s"), Integer(zone, "round"),
              Integer(zone, "relapses"), Number(zone, "share"), zone.at("scout").get<bool>() ? "yes" : "no",
              Integer(zone, "accusers"), Integer(zone, "vouchers"), failing.c_str(),
              Text(zone, "why").c_str());
}

void PrintOverride(const ordered_json& zone) {
  const std::string name = Text(zone, "order");
  if (name == "none") return;
  std::printf("%-12s override: %s for another %.0f s, issued by relay %ld\n", "", name.c_str(),
              Number(zone, "order_left_s"), Integer(zone, "order_told_to"));
}

void PrintTable(const ordered_json& page) {
  PrintMembership(page);
  PrintHeader();
  for (const ordered_json& zone : page.at("zones")) {
    PrintZone(zone);
    PrintOverride(zone);
  }
}

// Returns the exit status.
int IssueOverride(const sockaddr_in& relay, const ZonesArguments& arguments) {
  nlohmann::json body = {{"zone", arguments.zone}, {"order", arguments.override_name}};
  if (arguments.duration > 0) body["for_s"] = arguments.duration;
  const PostResponse response = PostPage(relay, "/zones", body.dump());
  if (response.status == 200) return kOk;
  std::cerr << (response.status == 0 ? "no relay responded (see --admin-listen)\n" : response.text);
  return kFailed;
}

}  // namespace

int Zones(const ZonesArguments& arguments, bool as_json) {
  const auto address = net::ParseAddress(arguments.address);
  if (!address) {
    std::cerr << "'" << arguments.address << "' is not an address like 127.0.0.1:80\n";
    return kInvalidAddress;
  }
  if (!arguments.override_name.empty()) {
    const int status = IssueOverride(*address, arguments);
    if (status != kOk) return status;
  }
  const ordered_json page = FetchPage(*address, "/zones");
  if (!page.is_object()) {
    std::cerr << "no relay returned its zones at " << arguments.address
              << " (see --admin-listen, --tier-zones)\n";
    return kFailed;
  }
  if (as_json) {
    std::cout << page.dump(-1, ' ', true, ordered_json::error_handler_t::replace) << '\n';
  } else {
    PrintTable(page);
  }
  return kOk;
}

}  // namespace opalroute::cli
