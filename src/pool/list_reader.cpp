#include "pool/list_reader.h"

#include "config/fields.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

const config::Words<PoolMember::State> kStates = {{"ready", PoolMember::State::kReady},
                                                  {"draining", PoolMember::State::kDraining},
                                                  {"gone", PoolMember::State::kGone}};

PoolMember ReadMember(const json& row) {
  PoolMember member;
  member.id = config::Get<std::string>(row, "instanceId");
  member.state = config::Word(kStates, row, "lifecycle");
  const auto address = net::ParseAddress(config::Get<std::string>(row, "hostPort"));
  if (!address) throw config::FieldError("field 'hostPort' holds no address");
  member.address = *address;
  member.zone = config::Get<std::string>(row, "zone");
  member.kind = config::Get<std::string>(row, "machineType");
  member.destination = config::Get<long long>(row, "cell");
  member.weight = config::GetOr(row, "weight", 0.0);
  return member;
}

}  // namespace

std::optional<PoolNews> ReadPoolList(const json& list) {
  PoolNews news;
  try {
    news.generation = config::Get<long long>(list, "generation");
    news.whole = config::GetOr(list, "reset", false);
    const json& rows = config::Need(list, "instances");
    if (!rows.is_array()) throw config::FieldError("field 'instances' is no array");
    for (const json& row : rows) news.members.push_back(ReadMember(row));
  } catch (const config::FieldError& error) {
    log::Warn("pool_list_unreadable", {{"why", error.what()}});
    return std::nullopt;
  }
  return news;
}

}  // namespace opalroute
