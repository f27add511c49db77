// Interprets a response to a question: records, no such type, no such name, an alias, or no usable answer.
// Performs no I/O.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "dns/message.h"

namespace opalroute::dns {

using Seconds = double;

struct Answer {
  // kNoData: the name exists, but has no records of the type. kNoName: the name does not exist (RFC 2308, 2).
  // kAlias: the name is an alias (CNAME), and the response holds no records of its target; the resolver asks
  // for `alias` next.
  enum class Kind { kRecords, kNoData, kNoName, kAlias } kind{};
  std::vector<Srv> services;       // answer to a question of type SRV
  std::vector<in_addr> addresses;  // answer to a question of type A
  Name alias;
  // The lowest TTL of the records used, CNAMEs included; for a negative answer at most the TTL that its SOA
  // record gives (RFC 2308, 5).
  Seconds ttl = 0;
};

// Why a response holds no answer to a question.
enum class ResponseError {
  kMismatch,         // another id or question, or not a response; must be ignored
  kTruncated,        // ask again over TCP
  kEdnsUnsupported,  // the server does not understand EDNS0; ask again without it (RFC 6891, 7)
  kServerFailure     // the server failed or refused
};

// `id`: the id of the query.
std::variant<Answer, ResponseError> ReadAnswer(const Message& response, std::uint16_t id,
                                               const Question& question);

constexpr int kMaxAliases = 8;  // length of a chain of CNAMEs

}  // namespace opalroute::dns
