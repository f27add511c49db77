#include "dns/message.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace opalroute::dns {

namespace {

constexpr std::size_t kMaxNameBytes = 255, kMaxLabelBytes = 63;
constexpr std::size_t kHeaderBytes = 12;
// Flags in the third and fourth byte of the header (RFC 1035, 4.1.1).
constexpr std::uint16_t kResponse = 0x8000, kOpcode = 0x7800, kAuthoritative = 0x0400, kTruncated = 0x0200,
                        kRecursionDesired = 0x0100, kRecursionAvailable = 0x0080, kRcode = 0x000f;

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  struct Failure {
    DecodeError error;
  };

  Message ReadMessage() {
    Message m;
    m.id = Read16("shorter than the header of 12 bytes");
    const std::uint16_t flags = Read16("shorter than the header of 12 bytes");
    m.response = (flags & kResponse) != 0;
    m.authoritative = (flags & kAuthoritative) != 0;
    m.truncated = (flags & kTruncated) != 0;
    m.recursion_desired = (flags & kRecursionDesired) != 0;
    m.recursion_available = (flags & kRecursionAvailable) != 0;
    m.rcode = static_cast<Rcode>(flags & kRcode);
    if ((flags & kOpcode) != 0) Fail(2, "unsupported opcode: not a standard query");
    std::uint16_t counts[4];
    for (std::uint16_t& count : counts) count = Read16("shorter than the header of 12 bytes");
    for (int i = 0; i < counts[0]; ++i) {
      Question question;
      question.name = ReadName();
      question.type = static_cast<Type>(Read16("missing type of a question"));
      const std::size_t class_offset = offset_;
      if (Read16("missing class of a question") != kInternet)
        Fail(class_offset, "the class of a question is not Internet");
      m.questions.push_back(std::move(question));
    }
    if (m.truncated) return m;
    std::vector<Record>* const sections[] = {&m.answers, &m.authority, &m.additional};
    for (int s = 0; s < 3; ++s)
      for (int i = 0; i < counts[s + 1]; ++i) ReadRecord(m, *sections[s], s == 2);
    if (offset_ != bytes_.size()) Fail(offset_, "unexpected bytes after the last record");
    return m;
  }

 private:
  [[noreturn]] static void Fail(std::size_t offset, const char* reason) { throw Failure{{offset, reason}}; }

  // `error`: reported if the bytes end before the value is complete.
  std::uint8_t Read8(const char* error) {
    if (offset_ >= bytes_.size()) Fail(offset_, error);
    return static_cast<std::uint8_t>(bytes_[offset_++]);
  }
  std::uint16_t Read16(const char* error) {
    const std::uint16_t high = Read8(error);
    return static_cast<std::uint16_t>(high << 8 | Read8(error));
  }
  std::uint32_t Read32(const char* error) {
    const std::uint32_t high = Read16(error);
    return high << 16 | Read16(error);
  }

  // Compression pointers that point forward or to themselves could form an endless loop. So each pointer must
  // point to before the part of the name that contains it, and every jump goes further back.
  Name ReadName() {
    std::string wire;
    std::size_t at = offset_;
    std::size_t part_begin = offset_;
    bool jumped = false;
    for (;;) {
      if (at >= bytes_.size()) Fail(at, "a name extends past the end of the message");
      const auto length = static_cast<std::uint8_t>(bytes_[at]);
      if ((length & 0xc0) == 0xc0) {
        if (at + 1 >= bytes_.size()) Fail(at, "incomplete compression pointer");
        const std::size_t to =
            static_cast<std::size_t>(length & 0x3f) << 8 | static_cast<std::uint8_t>(bytes_[at + 1]);
        if (to >= part_begin) Fail(at, "a compression pointer does not point backward");
        if (!std::exchange(jumped, true)) offset_ = at + 2;
        at = part_begin = to;
        continue;
      }
      if (length > kMaxLabelBytes) Fail(at, "a label is longer than 63 bytes");
      if (at + 1 + length > bytes_.size()) Fail(at, "a label extends past the end of the message");
      if (wire.size() + 1 + length > kMaxNameBytes) Fail(at, "a name is longer than 255 bytes");
      wire += static_cast<char>(length);
      for (std::size_t i = 0; i < length; ++i) wire += Lower(bytes_[at + 1 + i]);
      at += 1 + static_cast<std::size_t>(length);
      if (length == 0) break;
    }
    if (!jumped) offset_ = at;
    return Name::FromWire(std::move(wire));
  }

  void ReadRecord(Message& m, std::vector<Record>& section, bool additional) {
    Record record;
    const std::size_t record_begin = offset_;
    record.name = ReadName();
    record.type = static_cast<Type>(Read16("missing type of a record"));
    record.record_class = Read16("missing class of a record");
    record.ttl = Read32("missing TTL of a record");
    if (record.ttl >> 31 != 0 && record.type != Type::kOpt) record.ttl = 0;
    const std::size_t length = Read16("missing data length of a record");
    const std::size_t data_end = offset_ + length;
    if (data_end > bytes_.size()) Fail(offset_, "the data of a record extends past the end of the message");
    if (record.type == Type::kOpt) {
      // Its class field holds the UDP payload size (RFC 6891, 6.1.2). At most one is allowed, and only in the
      // additional section.
      if (!additional || m.edns_udp_size)
        Fail(record_begin, "a second OPT record, or one outside the additional section");
      if (!record.name.root()) Fail(record_begin, "the name of an OPT record is not the root");
      m.edns_udp_size = record.record_class;
      offset_ = data_end;
      return;
    }
    if (record.record_class == kInternet) ReadData(record, length);
    if (record.data.index() == 0) offset_ = data_end;
    if (offset_ != data_end) Fail(offset_, "the data of a record does not match its stated length");
    section.push_back(std::move(record));
  }

  void ReadData(Record& record, std::size_t length) {
    const char* const too_short = "the data of a record is too short";
    switch (record.type) {
      case Type::kA: {
        if (length != 4) Fail(offset_, "the data of an A record is not 4 bytes long");
        in_addr address{};
        std::memcpy(&address, bytes_.data() + offset_, 4);
        offset_ += 4;
        record.data = address;
        return;
      }
      case Type::kAaaa: {
        Ipv6Address address;
        if (length != address.size()) Fail(offset_, "the data of an AAAA record is not 16 bytes long");
        std::memcpy(address.data(), bytes_.data() + offset_, address.size());
        offset_ += address.size();
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
  std::size_t offset_ = 0;
};

void Put16(std::string& to, std::uint16_t value) {
  to += static_cast<char>(value >> 8);
  to += static_cast<char>(value & 0xff);
}
void Put32(std::string& to, std::uint32_t value) {
  Put16(to, static_cast<std::uint16_t>(value >> 16));
  Put16(to, static_cast<std::uint16_t>(value & 0xffff));
}

struct DataEncoder {
  std::string& to;
  void operator()(std::monostate) const {}
  void operator()(const in_addr& address) const { to.append(reinterpret_cast<const char*>(&address), 4); }
  void operator()(const Ipv6Address& address) const {
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
  Put32(to, record.ttl);
  std::string data;
  std::visit(DataEncoder{data}, record.data);
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
    if (label.empty() || label.size() > kMaxLabelBytes) return std::nullopt;
    wire += static_cast<char>(label.size());
    for (const char c : label) wire += Lower(c);
    if (dot == std::string_view::npos) break;
    text.remove_prefix(dot + 1);
    if (text.empty()) return std::nullopt;  // "a.." has an empty label
  }
  wire += '\0';
  if (wire.size() > kMaxNameBytes) return std::nullopt;
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
      for (const int divisor : {100, 10, 1}) text += static_cast<char>('0' + code / divisor % 10);
    }
    at += 1 + static_cast<std::size_t>(length);
  }
  return text;
}

std::variant<Message, DecodeError> Decode(std::string_view bytes) {
  try {
    return Reader(bytes).ReadMessage();
  } catch (const Reader::Failure& failure) {
    return failure.error;
  }
}

std::string Encode(const Message& m) {
  std::string to;
  to.reserve(kHeaderBytes + 64 * (1 + m.answers.size() + m.authority.size() + m.additional.size()));
  Put16(to, m.id);
  std::uint16_t flags = static_cast<std::uint16_t>(m.rcode) & kRcode;
  if (m.response) flags |= kResponse;
  if (m.authoritative) flags |= kAuthoritative;
  if (m.truncated) flags |= kTruncated;
  if (m.recursion_desired) flags |= kRecursionDesired;
  if (m.recursion_available) flags |= kRecursionAvailable;
  Put16(to, flags);
  for (const std::size_t count : {m.questions.size(), m.answers.size(), m.authority.size(),
                                  m.additional.size() + (m.edns_udp_size ? 1 : 0)})
    Put16(to, static_cast<std::uint16_t>(count));
  for (const Question& question : m.questions) {
    to += question.name.wire();
    Put16(to, static_cast<std::uint16_t>(question.type));
    Put16(to, kInternet);
  }
  for (const auto* section : {&m.answers, &m.authority, &m.additional})
    for (const Record& record : *section) PutRecord(to, record);
  if (m.edns_udp_size) PutRecord(to, {Name(), Type::kOpt, *m.edns_udp_size, 0, {}});
  return to;
}

}  // namespace opalroute::dns
