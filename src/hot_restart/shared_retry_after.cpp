#include "hot_restart/shared_retry_after.h"

#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "journal/durable_file.h"

namespace opalroute::hot_restart {

namespace {

// The file: a count of its changes, then records. Both processes run on one machine, so they are kept as the
// machine holds them. A record that is read while it is written does not match its check and is passed over:
// the count, written after it, brings it back.
struct Record {
  std::int64_t destination, until;
  std::uint32_t tag, check;
};
static_assert(sizeof(Record) == 24, "records follow one another without gaps");

std::uint32_t CheckOf(const Record& r) {
  const std::uint64_t mixed = (static_cast<std::uint64_t>(r.destination) * 0x9e3779b97f4a7c15U) ^
                              (static_cast<std::uint64_t>(r.until) * 0xc2b2ae3d27d4eb4fU) ^ r.tag;
  return static_cast<std::uint32_t>(mixed >> 32U) ^ static_cast<std::uint32_t>(mixed) ^ 0x5a17U;
}

constexpr std::size_t kHead = sizeof(std::uint64_t);

std::vector<Record> RecordsIn(const std::string& bytes) {
  std::vector<Record> records;
  for (std::size_t at = kHead; at + sizeof(Record) <= bytes.size(); at += sizeof(Record)) {
    Record r;
    std::memcpy(&r, bytes.data() + at, sizeof(r));
    if (r.check == CheckOf(r)) records.push_back(r);
  }
  return records;
}

int OpenIn(const std::string& folder, int seat) {
  return OpenOrCreate(folder + "/waits." + std::to_string(seat));
}

}  // namespace

SharedRetryAfterTable::SharedRetryAfterTable(const std::string& folder, int own_seat, int other_seat,
                                             std::size_t most)
    : most_(most), own_(OpenIn(folder, own_seat)), other_(OpenIn(folder, other_seat)) {
  const std::string bytes = ReadWholeFile(own_, folder);
  if (bytes.size() >= kHead) std::memcpy(&written_, bytes.data(), kHead);
  // Written anew from the front, without gaps; what stood behind them goes once all are written.
  for (const Record& r : RecordsIn(bytes)) Publish({r.destination, r.tag, r.until});
  if (unwritten_.empty()) (void)!ftruncate(own_, static_cast<off_t>(kHead + slots_.size() * sizeof(Record)));
}

SharedRetryAfterTable::~SharedRetryAfterTable() {
  close(own_);
  close(other_);
}

void SharedRetryAfterTable::Publish(const SharedRetryAfter& wait) {
  auto slot = slots_.find({wait.destination, wait.name_hash});
  if (slot == slots_.end()) {
    std::size_t place = slots_.size();
    if (place >= most_) {  // the one that ends first makes room
      const auto first = std::min_element(slots_.begin(), slots_.end(), [](const auto& a, const auto& b) {
        return a.second.second < b.second.second;
      });
      place = first->second.first;
      unwritten_.erase(first->first);
      slots_.erase(first);
    }
    slot = slots_.emplace(Lane{wait.destination, wait.name_hash}, std::pair(place, std::int64_t{0})).first;
  }
  auto& [place, Publish] = slot->second;
  if (wait.until <= Publish) return;
  Publish = wait.until;
  unwritten_.insert(slot->first);
  WriteOverdue();
}

bool SharedRetryAfterTable::Write(const Lane& lane) {
  const auto& [place, until] = slots_.at(lane);
  Record r{lane.first, until, lane.second, 0};
  r.check = CheckOf(r);
  const std::uint64_t count = written_ + 1;
  if (pwrite(own_, &r, sizeof(r), static_cast<off_t>(kHead + place * sizeof(r))) != sizeof(r) ||
      pwrite(own_, &count, sizeof(count), 0) != sizeof(count))
    return false;
  written_ = count;
  return true;
}

void SharedRetryAfterTable::WriteOverdue() {
  while (!unwritten_.empty() && Write(*unwritten_.begin())) unwritten_.erase(unwritten_.begin());
}

bool SharedRetryAfterTable::HasChanges() {
  WriteOverdue();
  std::uint64_t count = 0;
  if (pread(other_, &count, sizeof(count), 0) != sizeof(count)) count = 0;
  return std::exchange(seen_, count) != count;
}

std::vector<SharedRetryAfter> SharedRetryAfterTable::Active(std::int64_t now) {
  std::vector<SharedRetryAfter> waits;
  std::string bytes(kHead + most_ * sizeof(Record), '\0');
  for (const int fd : {own_, other_}) {
    const ssize_t count = pread(fd, bytes.data(), bytes.size(), 0);
    if (count < 0) seen_.reset();
    for (const Record& r : RecordsIn(bytes.substr(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)))))
      if (r.until > now) waits.push_back({r.destination, r.tag, r.until});
  }
  return waits;
}

}  // namespace opalroute::hot_restart
