// Priority queues of events in simulated time. Events are popped by time, and events of the same time in the
// order in which they were pushed, so that a seed always gives the same run, byte for byte. docs/lab.md has
// the measurements by which the simulation's queue was chosen.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace opalroute::lab {

// Simulated time in whole microseconds. With floating-point seconds, rounding could order two events
// differently depending on how their times were computed.
using Micros = std::int64_t;

template <typename Payload>
struct Event {
  Micros at = 0;
  std::uint64_t sequence = 0;  // in the order of the pushes
  Payload payload{};
  bool operator<(const Event& o) const { return at != o.at ? at < o.at : sequence < o.sequence; }
};

// A binary heap: O(log n) push and pop, whatever the distribution of the times.
template <typename Payload>
class HeapQueue {
 public:
  void Push(Micros at, Payload payload) {
    heap_.push_back({at, ++last_sequence_, std::move(payload)});
    std::push_heap(heap_.begin(), heap_.end(), IsLater);
  }
  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  Micros next_time() { return heap_.front().at; }
  Event<Payload> Pop() {
    std::pop_heap(heap_.begin(), heap_.end(), IsLater);
    Event<Payload> event = std::move(heap_.back());
    heap_.pop_back();
    return event;
  }

 private:
  static bool IsLater(const Event<Payload>& a, const Event<Payload>& b) { return b < a; }
  std::vector<Event<Payload>> heap_;
  std::uint64_t last_sequence_ = 0;
};

// A calendar queue after R. Brown, "Calendar Queues", CACM 31(10), 1988: buckets ("days") of equal width that
// wrap around after a "year"; O(1) while the buckets hold a few events each. The number of buckets doubles
// and halves with the number of events, and each time the width is computed anew from the gaps between the
// earliest events.
template <typename Payload>
class CalendarQueue {
 public:
  CalendarQueue() { Resize(16, 1000); }

  void Push(Micros at, Payload payload) {
    Insert({at, ++last_sequence_, std::move(payload)});
    if (at < now_) MoveTo(at);
    if (size_ > 2 * buckets_.size()) Rebuild(2 * buckets_.size());
  }
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  Micros next_time() {
    FindNext();
    return buckets_[current_].back().at;
  }
  Event<Payload> Pop() {
    FindNext();
    Event<Payload> event = std::move(buckets_[current_].back());
    buckets_[current_].pop_back();
    --size_;
    now_ = event.at;
    if (buckets_.size() > 16 && size_ < buckets_.size() / 2) Rebuild(buckets_.size() / 2);
    return event;
  }

 private:
  using Bucket = std::vector<Event<Payload>>;  // the earliest event last

  std::size_t BucketOf(Micros at) const { return static_cast<std::size_t>(at / width_) % buckets_.size(); }
  void Insert(Event<Payload> event) {
    Bucket& bucket = buckets_[BucketOf(event.at)];
    const auto is_later = [](const Event<Payload>& a, const Event<Payload>& b) { return b < a; };
    bucket.insert(std::lower_bound(bucket.begin(), bucket.end(), event, is_later), std::move(event));
    ++size_;
  }
  void MoveTo(Micros time) {
    now_ = time;
    current_ = BucketOf(time);
    current_end_ = (time / width_ + 1) * width_;
  }
  // Makes current_ the bucket whose last event is the earliest of all.
  void FindNext() {
    for (std::size_t visited = 0; visited <= buckets_.size(); ++visited) {
      if (!buckets_[current_].empty() && buckets_[current_].back().at < current_end_) return;
      current_ = (current_ + 1) % buckets_.size();
      current_end_ += width_;
    }
    // No event within a year: jump to the earliest one.
    const Bucket* first = nullptr;
    for (const Bucket& bucket : buckets_)
      if (!bucket.empty() && (first == nullptr || bucket.back() < first->back())) first = &bucket;
    MoveTo(first->back().at);
  }
  void Resize(std::size_t buckets, Micros width) {
    width_ = std::max<Micros>(1, width);
    buckets_.assign(buckets, {});
    size_ = 0;
    MoveTo(now_);
  }
  void Rebuild(std::size_t buckets) {
    std::vector<Event<Payload>> all;
    all.reserve(size_);
    for (Bucket& bucket : buckets_) std::move(bucket.begin(), bucket.end(), std::back_inserter(all));
    // The width is three mean gaps between the earliest events: later events don't show how dense the next
    // ones are.
    const std::size_t sample = std::min<std::size_t>(all.size(), 64);
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(sample), all.end());
    const Micros width =
        sample > 1 ? 3 * (all[sample - 1].at - all[0].at) / static_cast<Micros>(sample) : width_;
    Resize(buckets, width);
    for (Event<Payload>& event : all) Insert(std::move(event));
  }

  std::vector<Bucket> buckets_;
  std::size_t current_ = 0, size_ = 0;
  Micros width_ = 1000, current_end_ = 0, now_ = 0;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace opalroute::lab
