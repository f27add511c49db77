#include "journal/journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "journal/durable_file.h"
#include "net/framing.h"

namespace opalroute {
namespace {

enum class Type : char { kTaken = 'T', kAttempt = 'A', kNeverRan = 'N', kEnd = 'E', kEndWith = 'W' };

using net::Frame;

constexpr std::size_t kHeadBytes = net::kFrameHead;
constexpr std::size_t kLongestRecord = 1 << 20;
constexpr std::size_t kFollowBytes = 512;  // kept free for each message: an attempt, the end with its notice
constexpr double kTakenPart = 0.4;  // of the disk: nothing more is taken on once so much is to be kept ...
constexpr double kKeptPart = 0.43;  // ... and nothing more is attempted
constexpr double kFilePart = 0.55;  // of the disk: a file that has grown to this is compacted
constexpr std::size_t kBlock = 512;

void PutNumber(std::string& record, std::uint64_t number) {
  char bytes[8];
  for (int i = 0; i < 8; ++i) bytes[i] = static_cast<char>(number >> (8 * i) & 255U);
  record.append(bytes, sizeof(bytes));
}

void PutText(std::string& record, const std::string& text) {
  PutNumber(record, text.size());
  record += text;
}

constexpr std::size_t kNumberBytes = 8;
std::size_t TextBytes(const std::string& text) { return kNumberBytes + text.size(); }
std::size_t BeginBytes(const std::string& id) { return 1 + TextBytes(id); }

class Reader {
 public:
  explicit Reader(const std::string& record) : record_(record) {}
  bool failed() const { return failed_; }
  char Byte() { return Has(1) ? record_[at_++] : '\0'; }
  std::uint64_t Number() {
    std::uint64_t number = 0;
    if (!Has(8)) return 0;
    for (int i = 0; i < 8; ++i)
      number |= static_cast<std::uint64_t>(static_cast<unsigned char>(record_[at_++])) << (8 * i);
    return number;
  }
  std::string Text() {
    const std::uint64_t size = Number();
    if (!Has(size)) return {};
    at_ += size;
    return record_.substr(at_ - size, size);
  }

 private:
  bool Has(std::uint64_t count) {
    if (count > record_.size() - at_) failed_ = true;
    return !failed_;
  }
  const std::string& record_;
  std::size_t at_ = 0;
  bool failed_ = false;
};

std::string Begin(Type type, const std::string& id) {
  std::string record(1, static_cast<char>(type));
  PutText(record, id);
  return record;
}

std::string TakenRecord(const JournalEntry& e) {
  std::string record = Begin(Type::kTaken, e.id);
  for (const std::string* text : {&e.request_class, &e.tenant, &e.key, &e.body}) PutText(record, *text);
  PutNumber(record, static_cast<std::uint64_t>(e.destination));
  PutNumber(record, static_cast<std::uint64_t>(e.deadline));
  return record;
}

std::string AttemptRecord(const std::string& id, const JournalAttempt& a) {
  std::string record = Begin(Type::kAttempt, id);
  PutText(record, a.endpoint);
  PutText(record, a.zone);
  PutNumber(record, static_cast<std::uint64_t>(a.sent_at));
  return record;
}

std::string NeverRanRecord(const std::string& id, std::size_t attempt) {
  std::string record = Begin(Type::kNeverRan, id);
  PutNumber(record, attempt);
  return record;
}

std::string EndWithRecord(const std::string& id, const std::string& notice) {
  std::string record = Begin(Type::kEndWith, id);
  PutText(record, notice);
  return record;
}

}  // namespace

Journal::Journal(const std::string& folder, std::size_t disk_bytes, std::string file)
    : folder_(folder), file_(std::move(file)), disk_bytes_(disk_bytes - std::min(disk_bytes, 4 * kBlock)) {
  unlink((path() + ".new").c_str());  // a compaction that did not come to its end: the old file stands
  fd_ = OpenOrCreate(path());
  try {
    Recover();
  } catch (...) {  // the destructor of what is not made does not run
    close(fd_);
    throw;
  }
}

Journal::~Journal() {
  if (fd_ >= 0) close(fd_);
}

void Journal::Recover() {
  const std::string bytes = ReadWholeFile(fd_, path());
  std::size_t good = 0;
  for (;;) {
    const net::FrameRead read = net::ReadFrame(std::string_view(bytes).substr(good), kLongestRecord);
    if (read.state != net::FrameState::kWhole || !Apply(std::string(read.record))) break;
    good += read.size;
  }
  lost_bytes_ = bytes.size() - good;
  file_bytes_ = good;
  torn_ = lost_bytes_ > 0;
  CutTornRecord();
}

JournalEntry* Journal::Find(const std::string& id) {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? nullptr : &entries_.at(it->second);
}

// What its records take when they are written anew, and what may follow. Reckoned, not written: it is asked
// for with every message.
std::size_t Journal::CostOf(const JournalEntry& e) {
  std::size_t bytes = kFollowBytes + kHeadBytes + BeginBytes(e.id) + 2 * kNumberBytes;
  for (const std::string* text : {&e.request_class, &e.tenant, &e.key, &e.body}) bytes += TextBytes(*text);
  for (std::size_t i = 0; i < e.attempts.size(); ++i) bytes += AttemptCost(e, i);
  return bytes;
}

std::size_t Journal::AttemptCost(const JournalEntry& e, std::size_t attempt) {
  const JournalAttempt& a = e.attempts[attempt];
  const std::size_t attempted = BeginBytes(e.id) + TextBytes(a.endpoint) + TextBytes(a.zone) + kNumberBytes;
  const std::size_t never_ran = BeginBytes(e.id) + kNumberBytes;
  return attempted + never_ran + 2 * kHeadBytes;
}

bool Journal::HasRoom(std::size_t bytes, double part) const {
  return static_cast<double>(kept_bytes_ + bytes) <= part * static_cast<double>(disk_bytes_);
}

// ---- the table: what the records say
// -----------------------------------------------------------------------

void Journal::Insert(JournalEntry&& entry) {
  kept_bytes_ += CostOf(entry);
  numbers_[entry.id] = ++last_;
  entries_.emplace(last_, std::move(entry));
}

void Journal::AddAttempt(JournalEntry& entry, JournalAttempt&& attempt) {
  entry.attempts.push_back(std::move(attempt));
  kept_bytes_ += AttemptCost(entry, entry.attempts.size() - 1);
}

void Journal::Erase(const JournalEntry& entry) {
  kept_bytes_ -= CostOf(entry);
  const auto number = numbers_.find(entry.id);
  entries_.erase(number->second);
  numbers_.erase(number);
}

// One record that was read; false if it makes no sense. Records of a message that is not known are passed
// over: its end was written before.
bool Journal::Apply(const std::string& record) {
  Reader reader(record);
  const auto type = static_cast<Type>(reader.Byte());
  const std::string id = reader.Text();
  if (type == Type::kTaken) {
    JournalEntry e;
    e.id = id;
    for (std::string* text : {&e.request_class, &e.tenant, &e.key, &e.body}) *text = reader.Text();
    e.destination = static_cast<std::int64_t>(reader.Number());
    e.deadline = static_cast<std::int64_t>(reader.Number());
    if (reader.failed() || numbers_.count(id) > 0) return false;
    Insert(std::move(e));
    return true;
  }
  JournalEntry* entry = Find(id);
  if (type == Type::kAttempt) {
    JournalAttempt a;
    a.endpoint = reader.Text();
    a.zone = reader.Text();
    a.sent_at = static_cast<std::int64_t>(reader.Number());
    if (entry != nullptr && !reader.failed()) AddAttempt(*entry, std::move(a));
  } else if (type == Type::kNeverRan) {
    const std::uint64_t attempt = reader.Number();
    if (entry != nullptr && !reader.failed() && attempt < entry->attempts.size())
      entry->attempts[attempt].may_have_run = false;
  } else if (type == Type::kEndWith) {
    const std::string notice = reader.Text();
    if (entry != nullptr && !reader.failed()) entry->notification = notice;
  } else if (type == Type::kEnd) {
    if (entry != nullptr && !reader.failed()) Erase(*entry);
  } else {
    return false;
  }
  return !reader.failed();
}

// ---- what is written
// ---------------------------------------------------------------------------------------

bool Journal::RecordAccepted(const JournalEntry& entry) {
  if (numbers_.count(entry.id) > 0 || !HasRoom(CostOf(entry), kTakenPart)) return false;
  if (!Write(TakenRecord(entry))) return false;
  JournalEntry taken = entry;
  taken.attempts.clear();  // these have records of their own
  taken.notification.clear();
  Insert(std::move(taken));
  return true;
}

bool Journal::RecordAttempt(const std::string& id, const JournalAttempt& attempt) {
  JournalEntry* entry = Find(id);
  if (entry == nullptr || !HasRoom(kFollowBytes, kKeptPart) || !Write(AttemptRecord(id, attempt)))
    return false;
  JournalAttempt made = attempt;
  made.may_have_run = true;
  AddAttempt(*entry, std::move(made));
  return true;
}

bool Journal::RecordNotExecuted(const std::string& id, std::size_t attempt) {
  JournalEntry* entry = Find(id);
  if (entry == nullptr || !Write(NeverRanRecord(id, attempt))) return false;
  if (attempt < entry->attempts.size()) entry->attempts[attempt].may_have_run = false;
  return true;
}

bool Journal::RecordEnd(const std::string& id) {
  const JournalEntry* entry = Find(id);
  if (entry == nullptr) return false;
  const std::string record = Begin(Type::kEnd, id);
  const bool written = Write(record);
  if (!written) pending_ends_.push_back(record);
  Erase(*entry);
  return written;
}

bool Journal::RecordEndWithNotification(const std::string& id, const std::string& notice) {
  JournalEntry* entry = Find(id);
  if (entry == nullptr) return false;
  const std::string record = EndWithRecord(id, notice);
  const bool written = Write(record);
  if (!written) pending_ends_.push_back(record);
  entry->notification = notice;
  return written;
}

bool Journal::Write(const std::string& record) {
  return record.size() <= kLongestRecord && WritePendingEnds() && WriteFrames(Frame(record));
}

// In their order, before anything else. Danger: an id whose end is not written could be taken on anew, and
// the late end would end the new message.
bool Journal::WritePendingEnds() {
  while (!pending_ends_.empty()) {
    const std::string record = pending_ends_.front();
    if (!WriteFrames(Frame(record))) return false;
    if (!pending_ends_.empty()) pending_ends_.erase(pending_ends_.begin());  // else compaction took them all
  }
  return true;
}

std::vector<std::uint64_t> Journal::AdoptEntriesOf(Journal& other) {
  std::vector<std::uint64_t> taken;
  const auto entries = other.entries_;  // copied: each end changes the table
  for (const auto& [AdoptEntriesOf, entry] : entries) {
    if (numbers_.count(entry.id) == 0) {
      if (!WriteFrames(RecordsOf(entry))) continue;
      Insert(JournalEntry(entry));
      taken.push_back(last_);
    }
    other.RecordEnd(entry.id);
  }
  if (other.entries_.empty()) other.Clear();
  return taken;
}

// Nothing is owed: all that its records say has ended.
void Journal::Clear() {
  if (!pending_ends_.empty() || ftruncate(fd_, 0) < 0) return;
  file_bytes_ = 0;
}

bool Journal::WriteFrames(const std::string& bytes) {
  const auto grown = static_cast<std::size_t>(kFilePart * static_cast<double>(disk_bytes_));
  if (file_bytes_ + bytes.size() > grown) Compact();
  if (file_bytes_ + bytes.size() > disk_bytes_ || !CutTornRecord()) return false;
  if (!WriteAllAt(fd_, bytes, file_bytes_)) {
    torn_ = true;
    CutTornRecord();
    return false;
  }
  file_bytes_ += bytes.size();
  return true;
}

// Danger: records appended behind a torn one would never be read again; and where a shorter one is written
// over it, the rest of its bytes, which a client may have chosen, could be read as a record.
bool Journal::CutTornRecord() {
  if (torn_ && ftruncate(fd_, static_cast<off_t>(file_bytes_)) == 0) torn_ = false;
  return !torn_;
}

std::string Journal::RecordsOf(const JournalEntry& e) {
  if (!e.notification.empty()) {  // only the notice is still owed
    JournalEntry ended;
    ended.id = e.id;
    return Frame(TakenRecord(ended)) + Frame(EndWithRecord(e.id, e.notification));
  }
  std::string bytes = Frame(TakenRecord(e));
  for (std::size_t i = 0; i < e.attempts.size(); ++i) {
    bytes += Frame(AttemptRecord(e.id, e.attempts[i]));
    if (!e.attempts[i].may_have_run) bytes += Frame(NeverRanRecord(e.id, i));
  }
  return bytes;
}

// Writes the new file beside the old one and lets it take that one's name in one step: whenever the process
// ends, one of the two stands whole under the name.
bool Journal::Compact() {
  std::string bytes;
  for (const auto& [number, e] : entries_) bytes += RecordsOf(e);
  if (bytes.size() >= file_bytes_ || file_bytes_ + bytes.size() + 2 * kBlock > disk_bytes_) return false;
  const std::string fresh = path() + ".new";
  const int fd = open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  if (!WriteAllAt(fd, bytes, 0) || rename(fresh.c_str(), path().c_str()) < 0) {
    close(fd);
    unlink(fresh.c_str());
    return false;
  }
  close(fd_);
  fd_ = fd;
  torn_ = false;
  pending_ends_.clear();  // what they end is not in the new file, and the notices of the others are
  file_bytes_ = bytes.size();
  return true;
}

}  // namespace opalroute
