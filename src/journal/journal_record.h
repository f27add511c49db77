// The records of the journal, and their format on disk.
//
// A journal file is a sequence of frames (net/framing.h: length, checksum, record). A record begins with one
// byte for its type and the request's id; its fields follow without padding. A number has 8 bytes,
// little-endian; a text is its length as a number and then its bytes.
//
//   type  name                   fields after the id
//   'T'   accepted               request class, tenant, key, body (texts), destination, deadline (numbers)
//   'A'   attempt                endpoint, zone (texts), time sent (number)
//   'N'   not executed           index of the attempt among the request's attempt records (number)
//   'E'   end                    none
//   'W'   end with notification  notification (text)
//
// Times are PersistentClock::Micros. A later version must go on reading these records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace opalroute {

// An attempt of a request, written before the first byte of its call.
struct JournalAttempt {
  std::string endpoint;
  std::string zone;
  std::int64_t sent_at = 0;  // PersistentClock::Micros
  bool may_have_run = true;  // until its outcome says otherwise
};

// An accepted request that is not finished: it runs still, or its notification has not been delivered.
struct JournalEntry {
  std::string id;
  std::string request_class;
  std::string tenant;
  std::string key;
  std::string body;
  std::int64_t destination = 0;
  std::int64_t deadline = 0;  // PersistentClock::Micros
  std::vector<JournalAttempt> attempts;
  std::string notification;  // not empty: the request has ended, and the platform is still to be notified
};

namespace journal_record {

constexpr std::size_t kMaxBytes = 1 << 20;  // of one record

struct Accepted {
  JournalEntry entry;  // without attempts and notification
};

struct Attempt {
  std::string id;
  JournalAttempt attempt;
};

struct NotExecuted {
  std::string id;
  std::uint64_t attempt = 0;  // its index among the attempts of the request
};

struct End {
  std::string id;
};

struct EndWithNotification {
  std::string id;
  std::string notification;
};

using Record = std::variant<Accepted, Attempt, NotExecuted, End, EndWithNotification>;

// Decodes one record; nothing if its type is unknown or a field is cut off.
std::optional<Record> Decode(std::string_view bytes);

// One record without its frame.
std::string EncodeAccepted(const JournalEntry& entry);
std::string EncodeAttempt(const std::string& id, const JournalAttempt& attempt);
std::string EncodeNotExecuted(const std::string& id, std::size_t attempt);
std::string EncodeEnd(const std::string& id);
std::string EncodeEndWithNotification(const std::string& id, const std::string& notification);

// The frames that stand for an entry as it is now: what compaction keeps of it. Of an entry with a
// notification only its id and the notification remain.
std::string EncodeFramesOf(const JournalEntry& entry);

// Bytes that the record takes in the file, frame included. Computed without encoding it.
std::size_t FrameBytesOfAccepted(const JournalEntry& entry);
std::size_t FrameBytesOfAttempt(const std::string& id, const JournalAttempt& attempt);
std::size_t FrameBytesOfNotExecuted(const std::string& id);

}  // namespace journal_record
}  // namespace opalroute
