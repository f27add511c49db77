// What a response says to a question: records, none of that type, no such name, an alias, or nothing at all.
// Pure.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "dns/message.h"

namespace opalroute::dns {

using Seconds = double;

struct Answer {
  // kNoData: the name is there, the type is not. kNoName: there is no such name (RFC 2308, 2). kAlias: the
  // name is another's, of which the response says nothing more; the question goes on with `alias`.
  enum class Kind { kRecords, kNoData, kNoName, kAlias } kind{};
  std::vector<Srv> services;       // to a question for SRV
  std::vector<in_addr> addresses;  // to one for A
  Name alias;
  // The least of all records that it rests on; of a negative answer, the SOA's (RFC 2308, 5).
  Seconds lifetime = 0;
};

// Why a response is no answer.
enum class Unfit {
  kOther,      // not to this question: another id or question, or no response. To be passed over
  kTruncated,  // to be asked again by TCP
  kNoEdns,     // the server does not understand EDNS0; to be asked without it (RFC 6891, 7)
  kFailed      // the server failed or refused
};

// `id`: that the question went out under.
std::variant<Answer, Unfit> ReadAnswer(const Message& response, std::uint16_t id, const Question& question);

constexpr int kMostAliases = 8;  // CNAMEs one after the other

}  // namespace opalroute::dns
