#include "journal/journal_record.h"

#include <utility>

#include "net/framing.h"

namespace opalroute::journal_record {

namespace {

enum class RecordType : char {
  kAccepted = 'T',
  kAttempt = 'A',
  kNotExecuted = 'N',
  kEnd = 'E',
  kEndWithNotification = 'W'
};

constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kNumberBytes = 8;
constexpr std::uint64_t kZoneConfirmed = 1;  // the last field of an attempt

void AppendNumber(std::string& record, std::uint64_t number) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) record += static_cast<char>(number >> (8 * i) & 255U);
}

void AppendText(std::string& record, const std::string& text) {
  AppendNumber(record, text.size());
  record += text;
}

std::size_t TextBytes(const std::string& text) { return kNumberBytes + text.size(); }

std::size_t HeaderBytes(const std::string& id) { return kTypeBytes + TextBytes(id); }

std::string EncodeHeader(RecordType type, const std::string& id) {
  std::string record(kTypeBytes, static_cast<char>(type));
  AppendText(record, id);
  return record;
}

// Reads fields one after another. After a truncated field, that field and all later ones are empty or 0, and
// failed() returns true.
class FieldReader {
 public:
  explicit FieldReader(std::string_view record) : rest_(record) {}

  bool failed() const { return failed_; }
  bool IsAtEnd() const { return rest_.empty(); }

  char Byte() {
    const std::string_view byte = Take(kTypeBytes);
    return byte.empty() ? '\0' : byte.front();
  }

  std::uint64_t Number() {
    std::uint64_t number = 0;
    int shift = 0;
    for (const char byte : Take(kNumberBytes)) {
      number |= static_cast<std::uint64_t>(static_cast<unsigned char>(byte)) << shift;
      shift += 8;
    }
    return number;
  }

  std::int64_t SignedNumber() { return static_cast<std::int64_t>(Number()); }

  std::string Text() {
    const std::uint64_t size = Number();
    return std::string(Take(size));
  }

 private:
  std::string_view Take(std::uint64_t count) {
    if (count > rest_.size()) failed_ = true;
    if (failed_) return {};
    const std::string_view bytes = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return bytes;
  }

  std::string_view rest_;
  bool failed_ = false;
};

Accepted ReadAccepted(FieldReader& reader, std::string id) {
  JournalEntry entry;
  entry.id = std::move(id);
  entry.request_class = reader.Text();
  entry.tenant = reader.Text();
  entry.key = reader.Text();
  entry.body = reader.Text();
  entry.destination = reader.SignedNumber();
  entry.deadline = reader.SignedNumber();
  return {std::move(entry)};
}

Attempt ReadAttempt(FieldReader& reader, std::string id) {
  JournalAttempt attempt;
  attempt.endpoint = reader.Text();
  attempt.zone = reader.Text();
  attempt.sent_at = reader.SignedNumber();
  attempt.zone_confirmed = !reader.IsAtEnd() && reader.Number() == kZoneConfirmed;
  return {std::move(id), std::move(attempt)};
}

std::optional<Record> ReadFields(FieldReader& reader, RecordType type, std::string id) {
  switch (type) {
    case RecordType::kAccepted:
      return ReadAccepted(reader, std::move(id));
    case RecordType::kAttempt:
      return ReadAttempt(reader, std::move(id));
    case RecordType::kNotExecuted:
      return NotExecuted{std::move(id), reader.Number()};
    case RecordType::kEnd:
      return End{std::move(id)};
    case RecordType::kEndWithNotification:
      return EndWithNotification{std::move(id), reader.Text()};
  }
  return std::nullopt;
}

}  // namespace

std::optional<Record> Decode(std::string_view bytes) {
  FieldReader reader(bytes);
  const auto type = static_cast<RecordType>(reader.Byte());
  std::string id = reader.Text();
  std::optional<Record> record = ReadFields(reader, type, std::move(id));
  if (reader.failed()) return std::nullopt;
  return record;
}

std::string EncodeAccepted(const JournalEntry& entry) {
  std::string record = EncodeHeader(RecordType::kAccepted, entry.id);
  AppendText(record, entry.request_class);
  AppendText(record, entry.tenant);
  AppendText(record, entry.key);
  AppendText(record, entry.body);
  AppendNumber(record, static_cast<std::uint64_t>(entry.destination));
  AppendNumber(record, static_cast<std::uint64_t>(entry.deadline));
  return record;
}

std::string EncodeAttempt(const std::string& id, const JournalAttempt& attempt) {
  std::string record = EncodeHeader(RecordType::kAttempt, id);
  AppendText(record, attempt.endpoint);
  AppendText(record, attempt.zone);
  AppendNumber(record, static_cast<std::uint64_t>(attempt.sent_at));
  if (attempt.zone_confirmed) AppendNumber(record, kZoneConfirmed);
  return record;
}

std::string EncodeNotExecuted(const std::string& id, std::size_t attempt) {
  std::string record = EncodeHeader(RecordType::kNotExecuted, id);
  AppendNumber(record, attempt);
  return record;
}

std::string EncodeEnd(const std::string& id) { return EncodeHeader(RecordType::kEnd, id); }

std::string EncodeEndWithNotification(const std::string& id, const std::string& notification) {
  std::string record = EncodeHeader(RecordType::kEndWithNotification, id);
  AppendText(record, notification);
  return record;
}

std::string EncodeFramesOf(const JournalEntry& entry) {
  if (!entry.notification.empty()) {
    JournalEntry ended;
    ended.id = entry.id;
    return net::EncodeFrame(EncodeAccepted(ended)) +
           net::EncodeFrame(EncodeEndWithNotification(entry.id, entry.notification));
  }
  std::string frames = net::EncodeFrame(EncodeAccepted(entry));
  for (std::size_t i = 0; i < entry.attempts.size(); ++i) {
    frames += net::EncodeFrame(EncodeAttempt(entry.id, entry.attempts[i]));
    if (!entry.attempts[i].may_have_run) frames += net::EncodeFrame(EncodeNotExecuted(entry.id, i));
  }
  return frames;
}

std::size_t FrameBytesOfAccepted(const JournalEntry& entry) {
  return net::kFrameHeaderSize + HeaderBytes(entry.id) + TextBytes(entry.request_class) +
         TextBytes(entry.tenant) + TextBytes(entry.key) + TextBytes(entry.body) + 2 * kNumberBytes;
}

std::size_t FrameBytesOfAttempt(const std::string& id, const JournalAttempt& attempt) {
  return net::kFrameHeaderSize + HeaderBytes(id) + TextBytes(attempt.endpoint) + TextBytes(attempt.zone) +
         (attempt.zone_confirmed ? 2 : 1) * kNumberBytes;
}

std::size_t FrameBytesOfNotExecuted(const std::string& id) {
  return net::kFrameHeaderSize + HeaderBytes(id) + kNumberBytes;
}

}  // namespace opalroute::journal_record
