#include "relay/zone_orders.h"

#include <nlohmann/json.hpp>

#include "config/fields.h"

namespace opalroute {

ZoneOrder ReadZoneOrder(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) throw config::FieldError("the body is no JSON");
  ZoneOrder order;
  order.zone = config::Get<std::string>(json, "zone");
  const auto what = zones::ByHandOf(config::Get<std::string>(json, "order"));
  if (!what) throw config::FieldError("field 'order' is none of leave, keep, none");
  order.what = *what;
  for (const auto& [key, value] : json.items())
    if (key != "zone" && key != "order" && key != "for_s")
      throw config::FieldError("unknown field '" + key + "'");
  if (order.what == zones::ByHand::kNone) return order;
  order.lasts = config::Get<double>(json, "for_s");
  if (!(order.lasts > 0 && order.lasts <= zones::Orders::kMostLasts))
    throw config::FieldError("field 'for_s' is not above 0 and 86400 at most");
  return order;
}

net::HttpAnswer TakeZoneOrder(const std::string& body, const std::function<bool(const ZoneOrder&)>& give) {
  try {
    const ZoneOrder order = ReadZoneOrder(body);
    if (!give(order)) return net::PlainAnswer(404, "there is no zone '" + order.zone + "'");
  } catch (const config::FieldError& error) { return net::PlainAnswer(400, error.what()); }
  return net::PlainAnswer(200, "done");
}

}  // namespace opalroute
