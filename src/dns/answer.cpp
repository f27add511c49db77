#include "dns/answer.h"

#include <algorithm>

namespace opalroute::dns {

namespace {

constexpr Seconds kMaxTtl = 1e18;  // longer than any TTL

const Record* FindCname(const Message& response, const Name& name) {
  for (const Record& r : response.answers)
    if (r.type == Type::kCname && r.name == name && std::holds_alternative<Name>(r.data)) return &r;
  return nullptr;
}

Seconds NegativeTtl(const Message& response) {
  for (const Record& r : response.authority)
    if (const auto* soa = std::get_if<Soa>(&r.data)) return std::min(r.ttl, soa->minimum);
  return 0;  // must not be cached (RFC 2308, 5); the cache applies its own minimum
}

// Returns why the response does not answer the question, or nothing if it does.
std::optional<ResponseError> CheckResponse(const Message& response, std::uint16_t id,
                                           const Question& question) {
  const bool matches_id = response.response && response.id == id;
  // Servers may omit the question if they can't parse the query.
  if (matches_id && response.rcode == Rcode::kFormErr && response.questions.empty())
    return ResponseError::kEdnsUnsupported;
  if (!matches_id || response.questions.size() != 1 || !(response.questions[0] == question))
    return ResponseError::kMismatch;
  if (response.rcode == Rcode::kFormErr || response.rcode == Rcode::kNotImp)
    return ResponseError::kEdnsUnsupported;
  if (response.rcode != Rcode::kNoError && response.rcode != Rcode::kNxDomain)
    return ResponseError::kServerFailure;
  if (response.truncated) return ResponseError::kTruncated;
  return std::nullopt;
}

// Adds the records of `name` to the answer. Returns the lowest of their TTLs and `lowest_ttl`.
Seconds AddRecords(const Message& response, Type type, const Name& name, Seconds lowest_ttl, Answer& answer) {
  for (const Record& r : response.answers) {
    if (r.type != type || r.name != name) continue;
    if (const auto* srv = std::get_if<Srv>(&r.data)) {
      answer.services.push_back(*srv);
    } else if (const auto* address = std::get_if<in_addr>(&r.data)) {
      answer.addresses.push_back(*address);
    } else {
      continue;
    }
    lowest_ttl = std::min<Seconds>(lowest_ttl, r.ttl);
  }
  return lowest_ttl;
}

}  // namespace

std::variant<Answer, ResponseError> ReadAnswer(const Message& response, std::uint16_t id,
                                               const Question& question) {
  if (const auto error = CheckResponse(response, id, question)) return *error;
  Answer answer;
  Name name = question.name;
  Seconds lowest_ttl = kMaxTtl;
  int aliases = 0;
  while (const Record* alias = FindCname(response, name)) {
    if (++aliases > kMaxAliases) return ResponseError::kServerFailure;  // a loop, or too long to follow
    lowest_ttl = std::min<Seconds>(lowest_ttl, alias->ttl);
    name = std::get<Name>(alias->data);
  }
  lowest_ttl = AddRecords(response, question.type, name, lowest_ttl, answer);
  if (!answer.services.empty() || !answer.addresses.empty()) {
    answer.kind = Answer::Kind::kRecords;
    answer.ttl = lowest_ttl;
    return answer;
  }
  const bool negative =
      response.rcode == Rcode::kNxDomain || std::any_of(response.authority.begin(), response.authority.end(),
                                                        [](const Record& r) { return r.type == Type::kSoa; });
  if (aliases > 0 && !negative) {
    answer.kind = Answer::Kind::kAlias;
    answer.alias = name;
    answer.ttl = lowest_ttl;
    return answer;
  }
  answer.kind = response.rcode == Rcode::kNxDomain ? Answer::Kind::kNoName : Answer::Kind::kNoData;
  answer.ttl = std::min(lowest_ttl, NegativeTtl(response));
  return answer;
}

}  // namespace opalroute::dns
