#include "dns/answer.h"

#include <algorithm>

namespace opalroute::dns {

namespace {

constexpr Seconds kEndless = 1e18;  // longer than any lifetime

const Record* AliasOf(const Message& response, const Name& name) {
  for (const Record& r : response.answers)
    if (r.type == Type::kCname && r.name == name && std::holds_alternative<Name>(r.data)) return &r;
  return nullptr;
}

Seconds NegativeLifetime(const Message& response) {
  for (const Record& r : response.authority)
    if (const auto* soa = std::get_if<Soa>(&r.data)) return std::min(r.lifetime, soa->minimum);
  return 0;  // not to be kept (RFC 2308, 5); the cache has a least lifetime of its own
}

// Why the response is no answer to the question, if it is none.
std::optional<Unfit> WhyUnfit(const Message& response, std::uint16_t id, const Question& question) {
  const bool ours = response.response && response.id == id;
  // Servers may leave the question out when they can't read it.
  if (ours && response.rcode == Rcode::kFormErr && response.questions.empty()) return Unfit::kNoEdns;
  if (!ours || response.questions.size() != 1 || !(response.questions[0] == question)) return Unfit::kOther;
  if (response.rcode == Rcode::kFormErr || response.rcode == Rcode::kNotImp) return Unfit::kNoEdns;
  if (response.rcode != Rcode::kNoError && response.rcode != Rcode::kNxDomain) return Unfit::kFailed;
  if (response.truncated) return Unfit::kTruncated;
  return std::nullopt;
}

// Adds the records of `name` to the answer. Returns the least of their lifetimes and `least`.
Seconds AddRecords(const Message& response, Type type, const Name& name, Seconds least, Answer& answer) {
  for (const Record& r : response.answers) {
    if (r.type != type || r.name != name) continue;
    if (const auto* srv = std::get_if<Srv>(&r.data)) {
      answer.services.push_back(*srv);
    } else if (const auto* address = std::get_if<in_addr>(&r.data)) {
      answer.addresses.push_back(*address);
    } else {
      continue;
    }
    least = std::min<Seconds>(least, r.lifetime);
  }
  return least;
}

}  // namespace

std::variant<Answer, Unfit> ReadAnswer(const Message& response, std::uint16_t id, const Question& question) {
  if (const auto unfit = WhyUnfit(response, id, question)) return *unfit;
  Answer answer;
  Name name = question.name;
  Seconds least = kEndless;
  int aliases = 0;
  while (const Record* alias = AliasOf(response, name)) {
    if (++aliases > kMostAliases) return Unfit::kFailed;  // a loop, or as good as one
    least = std::min<Seconds>(least, alias->lifetime);
    name = std::get<Name>(alias->data);
  }
  least = AddRecords(response, question.type, name, least, answer);
  if (!answer.services.empty() || !answer.addresses.empty()) {
    answer.kind = Answer::Kind::kRecords;
    answer.lifetime = least;
    return answer;
  }
  const bool negative =
      response.rcode == Rcode::kNxDomain || std::any_of(response.authority.begin(), response.authority.end(),
                                                        [](const Record& r) { return r.type == Type::kSoa; });
  if (aliases > 0 && !negative) {
    answer.kind = Answer::Kind::kAlias;
    answer.alias = name;
    answer.lifetime = least;
    return answer;
  }
  answer.kind = response.rcode == Rcode::kNxDomain ? Answer::Kind::kNoName : Answer::Kind::kNoData;
  answer.lifetime = std::min(least, NegativeLifetime(response));
  return answer;
}

}  // namespace opalroute::dns
