#include "dns/message.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace opalroute::dns {

namespace {

constexpr std::size_t kLongestName = 255, kLongestLabel = 63;
constexpr std::size_t kHeader = 12;
// Bits of the header's third and fourth byte (RFC 1035, 4.1.1).
constexpr std::uint16_t kResponse = 0x8000, kOpcode = 0x7800, kAuthoritative = 0x0400, kTruncated = 0x0200,
                        kRecursionDesired = 0x0100, kRecursionAvailable = 0x0080, kRcode = 0x000f;

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  struct Failure {
    Fault fault;
  };

  Message ReadMessage() {
    Message m;
    m.id = Read16("a header of 12 bytes is expected");
    const std::uint16_t flags = Read16("a header of 12 bytes is expected");
    m.response = (flags & kResponse) != 0;
    m.authoritative = (flags & kAuthoritative) != 0;
    m.truncated = (flags & kTruncated) != 0;
    m.recursion_desired = (flags & kRecursionDesired) != 0;
    m.recursion_available = (flags & kRecursionAvailable) != 0;
    m.rcode = static_cast<Rcode>(flags & kRcode);
    if ((flags & kOpcode) != 0) Fail(2, "only the opcode of a standard query is understood");
    std::uint16_t counts[4];
    for (std::uint16_t& count : counts) count = Read16("a header of 12 bytes is expected");
    for (int i = 0; i < counts[0]; ++i) {
      Question question;
      question.name = ReadName();
      question.type = static_cast<Type>(Read16("a question's type is expected"));
      const std::size_t at = at_;
      if (Read16("a question's class is expected") != kInternet)
        Fail(at, "a question's class must be Internet");
      m.questions.push_back(std::move(question));
    }
    if (m.truncated) return m;
    std::vector<Record>* const sections[] = {&m.answers, &m.authority, &m.additional};
    for (int s = 0; s < 3; ++s)
      for (int i = 0; i < counts[s + 1]; ++i) ReadRecord(m, *sections[s], s == 2);
    if (at_ != bytes_.size()) Fail(at_, "bytes stand behind the last record");
    return m;
  }

 private:
  [[noreturn]] static void Fail(std::size_t at, const char* what) { throw Failure{{at, what}}; }

  std::uint8_t Read8(const char* expected) {
    if (at_ >= bytes_.size()) Fail(at_, expected);
    return static_cast<std::uint8_t>(bytes_[at_++]);
  }
  std::uint16_t Read16(const char* expected) {
    const std::uint16_t high = Read8(expected);
    return static_cast<std::uint16_t>(high << 8 | Read8(expected));
  }
  std::uint32_t Read32(const char* expected) {
    const std::uint32_t high = Read16(expected);
    return high << 16 | Read16(expected);
  }

  // Danger: pointers that lead forward or to themselves never end. Each must lead to before the part of the
  // name that it stands in, so that every jump goes further back.
  Name ReadName() {
    std::string wire;
    std::size_t at = at_;
    std::size_t begins = at_;
    bool jumped = false;
    for (;;) {
      if (at >= bytes_.size()) Fail(at, "a name goes on past the end");
      const auto length = static_cast<std::uint8_t>(bytes_[at]);
      if ((length & 0xc0) == 0xc0) {
        if (at + 1 >= bytes_.size()) Fail(at, "a pointer has two bytes");
        const std::size_t to =
            static_cast<std::size_t>(length & 0x3f) << 8 | static_cast<std::uint8_t>(bytes_[at + 1]);
        if (to >= begins) Fail(at, "a pointer must lead back");
        if (!std::exchange(jumped, true)) at_ = at + 2;
        at = begins = to;
        continue;
      }
      if (length > kLongestLabel) Fail(at, "a label has at most 63 bytes");
      if (at + 1 + length > bytes_.size()) Fail(at, "a label goes on past the end");
      if (wire.size() + 1 + length > kLongestName) Fail(at, "a name has at most 255 bytes");
      wire += static_cast<char>(length);
      for (std::size_t i = 0; i < length; ++i) wire += Lower(bytes_[at + 1 + i]);
      at += 1 + static_cast<std::size_t>(length);
      if (length == 0) break;
    }
    if (!jumped) at_ = at;
    return Name::FromWire(std::move(wire));
  }

  void ReadRecord(Message& m, std::vector<Record>& section, bool additional) {
    Record record;
    const std::size_t begins = at_;
    record.name = ReadName();
    record.type = static_cast<Type>(Read16("a record's type is expected"));
    record.record_class = Read16("a record's class is expected");
    record.lifetime = Read32("a record's lifetime is expected");
    if (record.lifetime >> 31 != 0 && record.type != Type::kOpt) record.lifetime = 0;
    const std::size_t length = Read16("the length of a record's data is expected");
    const std::size_t ends = at_ + length;
    if (ends > bytes_.size()) Fail(at_, "a record's data goes on past the end");
    if (record.type == Type::kOpt) {
      // Its class is a size (RFC 6891, 6.1.2); one, and only in the last section.
      if (!additional || m.edns_bytes) Fail(begins, "one OPT record may stand among the additional ones");
      if (!record.name.root()) Fail(begins, "an OPT record's name must be the root");
      m.edns_bytes = record.record_class;
      at_ = ends;
      return;
    }
    if (record.record_class == kInternet) ReadData(record, length);
    if (record.data.index() == 0) at_ = ends;
    if (at_ != ends) Fail(at_, "a record's data has another length than it says");
    section.push_back(std::move(record));
  }

  void ReadData(Record& record, std::size_t length) {
    const char* const too_short = "a record's data is too short";
    switch (record.type) {
      case Type::kA: {
        if (length != 4) Fail(at_, "an IPv4 address has 4 bytes");
        in_addr address{};
        std::memcpy(&address, bytes_.data() + at_, 4);
        at_ += 4;
        record.data = address;
        return;
      }
      case Type::kAaaa: {
        Address6 address;
        if (length != address.size()) Fail(at_, "an IPv6 address has 16 bytes");
        std::memcpy(address.data(), bytes_.data() + at_, address.size());
        at_ += address.size();
        record.data = address;
        return;
      }
      case Type::kCname:
      case Type::kNs:
        record.data = ReadName();
        return;
      case Type::kSrv: {
        Srv srv;
        srv.priority = Read16(too_short);
        srv.weight = Read16(too_short);
        srv.port = Read16(too_short);
        srv.target = ReadName();
        record.data = std::move(srv);
        return;
      }
      case Type::kSoa: {
        Soa soa;
        soa.primary = ReadName();
        soa.mailbox = ReadName();
        for (std::uint32_t* field : {&soa.serial, &soa.refresh, &soa.retry, &soa.expire, &soa.minimum})
          *field = Read32(too_short);
        record.data = std::move(soa);
        return;
      }
      case Type::kOpt:
        return;
    }
  }

  const std::string_view bytes_;
  std::size_t at_ = 0;
};

void Put16(std::string& to, std::uint16_t value) {
  to += static_cast<char>(value >> 8);
  to += static_cast<char>(value & 0xff);
}
void Put32(std::string& to, std::uint32_t value) {
  Put16(to, static_cast<std::uint16_t>(value >> 16));
  Put16(to, static_cast<std::uint16_t>(value & 0xffff));
}

struct PutData {
  std::string& to;
  void operator()(std::monostate) const {}
  void operator()(const in_addr& address) const { to.append(reinterpret_cast<const char*>(&address), 4); }
  void operator()(const Address6& address) const {
    to.append(reinterpret_cast<const char*>(address.data()), address.size());
  }
  void operator()(const Name& name) const { to += name.wire(); }
  void operator()(const Srv& srv) const {
    for (const std::uint16_t field : {srv.priority, srv.weight, srv.port}) Put16(to, field);
    to += srv.target.wire();
  }
  void operator()(const Soa& soa) const {
    to += soa.primary.wire() + soa.mailbox.wire();
    for (const std::uint32_t field : {soa.serial, soa.refresh, soa.retry, soa.expire, soa.minimum})
      Put32(to, field);
  }
};

void PutRecord(std::string& to, const Record& record) {
  to += record.name.wire();
  Put16(to, static_cast<std::uint16_t>(record.type));
  Put16(to, record.record_class);
  Put32(to, record.lifetime);
  std::string data;
  std::visit(PutData{data}, record.data);
  Put16(to, static_cast<std::uint16_t>(data.size()));
  to += data;
}

}  // namespace

std::optional<Name> Name::Parse(std::string_view text) {
  if (!text.empty() && text.back() == '.') text.remove_suffix(1);
  std::string wire;
  while (!text.empty()) {
    const std::size_t dot = text.find('.');
    const std::string_view label = text.substr(0, dot);
    if (label.empty() || label.size() > kLongestLabel) return std::nullopt;
    wire += static_cast<char>(label.size());
    for (const char c : label) wire += Lower(c);
    if (dot == std::string_view::npos) break;
    text.remove_prefix(dot + 1);
    if (text.empty()) return std::nullopt;  // "a.." : an empty label
  }
  wire += '\0';
  if (wire.size() > kLongestName) return std::nullopt;
  return FromWire(std::move(wire));
}

Name Name::FromWire(std::string wire) {
  Name name;
  name.wire_ = std::move(wire);
  return name;
}

std::string Name::Text() const {
  if (root()) return ".";
  std::string text;
  for (std::size_t at = 0; wire_[at] != 0;) {
    const auto length = static_cast<std::uint8_t>(wire_[at]);
    if (!text.empty()) text += '.';
    for (std::size_t i = at + 1; i <= at + length; ++i) {
      const char c = wire_[i];
      if ((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_') {
        text += c;
        continue;
      }
      const int code = static_cast<std::uint8_t>(c);
      text += '\\';
      for (const int place : {100, 10, 1}) text += static_cast<char>('0' + code / place % 10);
    }
    at += 1 + static_cast<std::size_t>(length);
  }
  return text;
}

std::variant<Message, Fault> Decode(std::string_view bytes) {
  try {
    return Reader(bytes).ReadMessage();
  } catch (const Reader::Failure& failure) {
    return failure.fault;
  }
}

std::string Encode(const Message& m) {
  std::string to;
  to.reserve(kHeader + 64 * (1 + m.answers.size() + m.authority.size() + m.additional.size()));
  Put16(to, m.id);
  std::uint16_t flags = static_cast<std::uint16_t>(m.rcode) & kRcode;
  if (m.response) flags |= kResponse;
  if (m.authoritative) flags |= kAuthoritative;
  if (m.truncated) flags |= kTruncated;
  if (m.recursion_desired) flags |= kRecursionDesired;
  if (m.recursion_available) flags |= kRecursionAvailable;
  Put16(to, flags);
  for (const std::size_t count : {m.questions.size(), m.answers.size(), m.authority.size(),
                                  m.additional.size() + (m.edns_bytes ? 1 : 0)})
    Put16(to, static_cast<std::uint16_t>(count));
  for (const Question& question : m.questions) {
    to += question.name.wire();
    Put16(to, static_cast<std::uint16_t>(question.type));
    Put16(to, kInternet);
  }
  for (const auto* section : {&m.answers, &m.authority, &m.additional})
    for (const Record& record : *section) PutRecord(to, record);
  if (m.edns_bytes) PutRecord(to, {Name(), Type::kOpt, *m.edns_bytes, 0, {}});
  return to;
}

}  // namespace opalroute::dns
