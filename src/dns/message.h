// Encoding and decoding of DNS messages (RFC 1035 section 4; SRV: RFC 2782; AAAA: RFC 3596; EDNS0: RFC 6891).
// Decoding is safe on any input: it never reads past the end, and every loop is bounded by the number of
// bytes.
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

// A domain name, stored as uncompressed wire-format labels in lower case, since names are compared
// case-insensitively (RFC 4343).
class Name {
 public:
  Name() : wire_(1, '\0') {}  // the root
  // Parses "host.example", with or without a trailing dot; "." and "" are the root. Returns nothing if a
  // label is empty or longer than 63 bytes, or the name is longer than 255.
  static std::optional<Name> Parse(std::string_view text);
  // `wire`: valid uncompressed wire-format labels in lower case; not checked.
  static Name FromWire(std::string wire);

  const std::string& wire() const { return wire_; }
  bool root() const { return wire_.size() == 1; }
  // Returns "host.example", or "." for the root. Bytes other than letters, digits, '-' and '_' are written as
  // \DDD (RFC 1035, 5.1).
  std::string Text() const;
  friend bool operator==(const Name& a, const Name& b) { return a.wire_ == b.wire_; }
  friend bool operator!=(const Name& a, const Name& b) { return a.wire_ != b.wire_; }
  friend bool operator<(const Name& a, const Name& b) { return a.wire_ < b.wire_; }

 private:
  std::string wire_;
};

enum class Type : std::uint16_t { kA = 1, kNs = 2, kCname = 5, kSoa = 6, kAaaa = 28, kSrv = 33, kOpt = 41 };
constexpr std::uint16_t kInternet = 1;  // the only record class supported

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
  Name target;  // the root: the service is not offered (RFC 2782)
};
struct Soa {
  Name primary, mailbox;
  std::uint32_t serial = 0, refresh = 0, retry = 0, expire = 0;
  std::uint32_t minimum = 0;  // seconds: upper bound on the TTL of a negative answer (RFC 2308)
};
using Ipv6Address = std::array<std::uint8_t, 16>;

struct Record {
  Name name;
  Type type{};
  std::uint16_t record_class = kInternet;
  std::uint32_t ttl = 0;  // seconds; decoding replaces values of 2^31 and more by 0 (RFC 2181, section 8)
  // Name for CNAME and NS. std::monostate for other types and classes, whose data is not kept.
  std::variant<std::monostate, in_addr, Ipv6Address, Name, Srv, Soa> data;
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
  std::vector<Question> questions;  // of class Internet; decoding fails for any other class
  std::vector<Record> answers, authority, additional;
  std::optional<std::uint16_t> edns_udp_size;  // longest datagram the sender accepts; none without EDNS0
};

// Why and at which byte decoding failed.
struct DecodeError {
  std::size_t offset = 0;
  const char* reason = "";
};

// A message with the truncation flag is decoded only up to its questions, since its records may be incomplete
// (RFC 2181, 9).
std::variant<Message, DecodeError> Decode(std::string_view bytes);

// Encodes without name compression. Adds an OPT record if edns_udp_size is set. Records without data are
// written with a data length of 0.
std::string Encode(const Message& message);

}  // namespace opalroute::dns
