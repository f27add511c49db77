// Waits that endpoints have told to either process of one relay, in a file a seat: one writes, the other
// reads before it sends. A turn without news costs a read of eight bytes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace opalroute::hot_restart {

struct SharedRetryAfter {
  std::int64_t destination = 0;
  std::uint32_t name_hash = 0;  // of the endpoint where routes are apart (TagOf), else 0
  std::int64_t until = 0;       // PersistentClock::Micros, alike in both processes
};

class SharedRetryAfterTable {
 public:
  // Keeps at most `most` waits; what this seat's former process was told still holds. Throws
  // std::system_error if the folder can't be used.
  SharedRetryAfterTable(const std::string& folder, int own_seat, int other_seat, std::size_t most);
  ~SharedRetryAfterTable();
  SharedRetryAfterTable(const SharedRetryAfterTable&) = delete;
  SharedRetryAfterTable& operator=(const SharedRetryAfterTable&) = delete;

  void Publish(const SharedRetryAfter& wait);
  // Whether the other process has written since this was asked last; true at first. Writes what could not be
  // written before.
  bool HasChanges();
  // All that hold still, of both files. What can't be read now is news again.
  std::vector<SharedRetryAfter> Active(std::int64_t now);

 private:
  using Lane = std::pair<std::int64_t, std::uint32_t>;
  bool Write(const Lane& lane);
  void WriteOverdue();

  const std::size_t most_;
  int own_ = -1, other_ = -1;
  std::uint64_t written_ = 0;                                   // changes of the own file
  std::optional<std::uint64_t> seen_;                           // of the other's, as read last
  std::map<Lane, std::pair<std::size_t, std::int64_t>> slots_;  // of the own file, and until when
  std::set<Lane> unwritten_;                                    // the disk has not taken them yet
};

}  // namespace opalroute::hot_restart
