// DNS messages (RFC 1035 section 4; SRV: RFC 2782; AAAA: RFC 3596; EDNS0: RFC 6891). Pure: bytes in, values
// out. Whatever the bytes are, nothing is read past their end and every loop is bounded by their number.
#pragma once

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace opalroute::dns {

// A domain name: its labels as on the wire, uncompressed, in lower case (names compare without case, RFC
// 4343).
class Name {
 public:
  Name() : wire_(1, '\0') {}  // the root
  // From "host.example", with or without the last dot; "." and "" are the root. None: a label is empty or
  // over 63 bytes, or the name over 255.
  static std::optional<Name> Parse(std::string_view text);
  // From labels as on the wire that are known to be sound.
  static Name FromWire(std::string wire);

  const std::string& wire() const { return wire_; }
  bool root() const { return wire_.size() == 1; }
  // "host.example"; the root is ".". Bytes outside of letters, digits, '-' and '_' as \DDD (RFC 1035, 5.1).
  std::string Text() const;
  friend bool operator==(const Name& a, const Name& b) { return a.wire_ == b.wire_; }
  friend bool operator!=(const Name& a, const Name& b) { return a.wire_ != b.wire_; }
  friend bool operator<(const Name& a, const Name& b) { return a.wire_ < b.wire_; }

 private:
  std::string wire_;
};

enum class Type : std::uint16_t { kA = 1, kNs = 2, kCname = 5, kSoa = 6, kAaaa = 28, kSrv = 33, kOpt = 41 };
constexpr std::uint16_t kInternet = 1;  // the one class there is

enum class Rcode : std::uint8_t {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNxDomain = 3,
  kNotImp = 4,
  kRefused = 5
};

struct Srv {
  std::uint16_t priority = 0, weight = 0, port = 0;
  Name target;  // the root: the service is decidedly not offered
};
struct Soa {
  Name primary, mailbox;
  std::uint32_t serial = 0, refresh = 0, retry = 0, expire = 0;
  std::uint32_t minimum = 0;  // seconds: bounds the lifetime of a negative answer (RFC 2308)
};
using Address6 = std::array<std::uint8_t, 16>;

struct Record {
  Name name;
  Type type{};
  std::uint16_t record_class = kInternet;
  std::uint32_t lifetime = 0;  // seconds; from 2^31 on it counts as 0 (RFC 2181, section 8)
  // Name: CNAME and NS. Nothing: another type, or another class.
  std::variant<std::monostate, in_addr, Address6, Name, Srv, Soa> data;
};

struct Question {
  Name name;
  Type type{};
  friend bool operator==(const Question& a, const Question& b) {
    return a.name == b.name && a.type == b.type;
  }
  friend bool operator<(const Question& a, const Question& b) {
    return a.type != b.type ? a.type < b.type : a.name < b.name;
  }
};

struct Message {
  std::uint16_t id = 0;
  bool response = false, authoritative = false, truncated = false;
  bool recursion_desired = true, recursion_available = false;
  Rcode rcode = Rcode::kNoError;
  std::vector<Question> questions;  // of class Internet; others are faults
  std::vector<Record> answers, authority, additional;
  std::optional<std::uint16_t> edns_bytes;  // the longest datagram that its sender takes
};

// What is wrong with a message, and at which byte.
struct Fault {
  std::size_t at = 0;
  const char* what = "";
};

// A message with the truncation mark is read as far as its questions: its records say nothing (RFC 2181, 9).
std::variant<Message, Fault> Decode(std::string_view bytes);

// Without compression. An OPT record is written where edns_bytes is set. Records whose data is none are
// written with no data.
std::string Encode(const Message& message);

}  // namespace opalroute::dns
