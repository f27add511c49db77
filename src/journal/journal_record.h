// The records of the journal, and their format on disk.
//
// A journal file is a sequence of frames (net/framing.h: length, checksum, record). A record starts with its
// type, one byte, and the request id, a text; its other fields follow without padding. A number has 8 bytes,
// little-endian. A text is its length, as a number, followed by its bytes.
//
//   type  name                   fields after the id
//   'T'   accepted               request class, tenant, key, body (texts), destination, deadline (numbers)
//   'A'   attempt                endpoint, zone (texts), time sent (number), zone confirmed (1, or missing)
//   'N'   not executed           index of the attempt among the request's attempt records (number)
//   'E'   end                    none
//   'W'   end with notification  notification (text)
//
// Times are PersistentClock::Micros. Later versions must be able to read these records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace opalroute {

// An attempt of a request. Its record is written before the first byte of its call.
struct JournalAttempt {
  std::string endpoint;
  std::string zone;          // empty: unknown
  std::int64_t sent_at = 0;  // PersistentClock::Micros
  bool may_have_run = true;  // false once the outcome rules it out
  // The endpoint list has named the zone of an endpoint that SRV named first. Earlier versions recorded an
  // assumed zone for such endpoints, so without this it counts as unknown.
  bool zone_confirmed = false;
};

// An unfinished request: one that has not ended, or whose notification has not been delivered.
struct JournalEntry {
  std::string id;
  std::string request_class;
  std::string tenant;
  std::string key;
  std::string body;
  std::int64_t destination = 0;
  std::int64_t deadline = 0;  // PersistentClock::Micros
  std::vector<JournalAttempt> attempts;
  std::string notification;  // not empty if the request has ended and the platform must still be notified
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
  std::uint64_t attempt = 0;  // index among the attempts of the request
};

struct End {
  std::string id;
};

struct EndWithNotification {
  std::string id;
  std::string notification;
};

using Record = std::variant<Accepted, Attempt, NotExecuted, End, EndWithNotification>;

// Decodes one record. Returns nullopt if its type is unknown or a field is truncated.
std::optional<Record> Decode(std::string_view bytes);

// Encode one record, without its frame.
std::string EncodeAccepted(const JournalEntry& entry);
std::string EncodeAttempt(const std::string& id, const JournalAttempt& attempt);
std::string EncodeNotExecuted(const std::string& id, std::size_t attempt);
std::string EncodeEnd(const std::string& id);
std::string EncodeEndWithNotification(const std::string& id, const std::string& notification);

// Returns the frames that a compaction keeps for an entry: those of its current state. For an entry with a
// notification they hold only its id and the notification.
std::string EncodeFramesOf(const JournalEntry& entry);

// Size of the record in the file, including its frame, computed without encoding it.
std::size_t FrameBytesOfAccepted(const JournalEntry& entry);
std::size_t FrameBytesOfAttempt(const std::string& id, const JournalAttempt& attempt);
std::size_t FrameBytesOfNotExecuted(const std::string& id);

}  // namespace journal_record
}  // namespace opalroute
