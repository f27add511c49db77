#include "cli/zones_command.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/page.h"
#include "net/address.h"

namespace opalroute::cli {

namespace {

void PrintTable(const nlohmann::ordered_json& page) {
  const auto& tier = page.at("tier");
  std::printf("%s of %ld relays: %ld live, %ld suspected, %ld unheard, %ld gone; shares are of %.0f parts\n",
              page.at("relay").get<std::string>().c_str(), tier.at("relays").get<long>(),
              tier.at("live").get<long>(), tier.at("suspected").get<long>(), tier.at("unheard").get<long>(),
              tier.at("gone").get<long>(), tier.at("parts").get<double>());
  std::printf("%-12s %-10s %8s %6s %9s %6s %-6s %9s %9s %17s  %s\n", "zone", "stage", "for s", "round",
              "relapses", "share", "scout", "accusers", "vouchers", "partners failing", "why");
  for (const auto& z : page.at("zones")) {
    const std::string failing = std::to_string(z.at("partners_failing").get<long>()) + " of " +
                                std::to_string(z.at("partners").get<long>());
    std::printf("%-12s %-10s %8.1f %6ld %9ld %6.2f %-6s %9ld %9ld %17s  %s\n",
                z.at("zone").get<std::string>().c_str(), z.at("stage").get<std::string>().c_str(),
                z.at("for_s").get<double>(), z.at("round").get<long>(), z.at("relapses").get<long>(),
                z.at("share").get<double>(), z.at("scout").get<bool>() ? "yes" : "no",
                z.at("accusers").get<long>(), z.at("vouchers").get<long>(), failing.c_str(),
                z.at("why").get<std::string>().c_str());
    if (z.at("order").get<std::string>() != "none")
      std::printf("%-12s by hand: %s for another %.0f s, told to relay %ld\n", "",
                  z.at("order").get<std::string>().c_str(), z.at("order_left_s").get<double>(),
                  z.at("order_told_to").get<long>());
  }
}

// Gives an order of a zone; the exit status.
int GiveOrder(const sockaddr_in& to, const ZoneCommand& command) {
  nlohmann::json body = {{"zone", command.zone}, {"order", command.order}};
  if (command.lasts > 0) body["for_s"] = command.lasts;
  const PostAnswer answer = PostPage(to, "/zones", body.dump());
  if (answer.status == 200) return 0;
  std::cerr << (answer.status == 0 ? "no relay answered (see --admin-listen)\n" : answer.text);
  return 1;
}

}  // namespace

int Zones(const ZoneCommand& command, bool as_json) {
  const std::string& from = command.from;
  const auto address = net::ParseAddress(from);
  if (!address) {
    std::cerr << "'" << from << "' is no address like 127.0.0.1:80\n";
    return 2;
  }
  if (!command.order.empty()) {
    const int status = GiveOrder(*address, command);
    if (status != 0) return status;
  }
  const nlohmann::ordered_json page = FetchPage(*address, "/zones");
  if (!page.is_object()) {
    std::cerr << "no relay told its zones at " << from << " (see --admin-listen, --tier-zones)\n";
    return 1;
  }
  if (as_json)
    std::cout << page.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace) << '\n';
  else
    PrintTable(page);
  return 0;
}

}  // namespace opalroute::cli
