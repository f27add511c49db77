// Event queues for simulated time. Events leave by time and, at one time, in the order they were put in, so
// that a run is the same to the byte for a seed. Which one the engine uses was chosen by measurement
// (docs/lab.md).
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace opalroute::lab {

// Times are whole microseconds: sums of doubles would make the order depend on how a time was reached.
using Micros = std::int64_t;

template <typename Payload>
struct Event {
  Micros at = 0;
  std::uint64_t number = 0;  // in the order put in
  Payload payload{};
  bool operator<(const Event& o) const { return at != o.at ? at < o.at : number < o.number; }
};

// A binary heap: O(log n) both ways, whatever the times.
template <typename Payload>
class HeapQueue {
 public:
  void Push(Micros at, Payload payload) {
    heap_.push_back({at, ++number_, std::move(payload)});
    std::push_heap(heap_.begin(), heap_.end(), Later);
  }
  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  Micros next() { return heap_.front().at; }
  Event<Payload> Pop() {
    std::pop_heap(heap_.begin(), heap_.end(), Later);
    Event<Payload> event = std::move(heap_.back());
    heap_.pop_back();
    return event;
  }

 private:
  static bool Later(const Event<Payload>& a, const Event<Payload>& b) { return b < a; }
  std::vector<Event<Payload>> heap_;
  std::uint64_t number_ = 0;
};

// A calendar queue after R. Brown, "Calendar Queues", CACM 31(10), 1988: days of equal length, a year of
// them; O(1) while the days hold a few events each. The year doubles and halves with the number of events,
// and a day gets the length that suits the gaps found then.
template <typename Payload>
class CalendarQueue {
 public:
  CalendarQueue() { Resize(16, 1000); }

  void Push(Micros at, Payload payload) {
    Put({at, ++number_, std::move(payload)});
    if (at < now_) Turn(at);
    if (size_ > 2 * days_.size()) Rebuild(2 * days_.size());
  }
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  Micros next() {
    Find();
    return days_[day_].back().at;
  }
  Event<Payload> Pop() {
    Find();
    Event<Payload> event = std::move(days_[day_].back());
    days_[day_].pop_back();
    --size_;
    now_ = event.at;
    if (days_.size() > 16 && size_ < days_.size() / 2) Rebuild(days_.size() / 2);
    return event;
  }

 private:
  using Day = std::vector<Event<Payload>>;  // the next one last

  std::size_t DayOf(Micros at) const { return static_cast<std::size_t>(at / width_) % days_.size(); }
  void Put(Event<Payload> event) {
    Day& day = days_[DayOf(event.at)];
    const auto later = [](const Event<Payload>& a, const Event<Payload>& b) { return b < a; };
    day.insert(std::lower_bound(day.begin(), day.end(), event, later), std::move(event));
    ++size_;
  }
  void Turn(Micros to) {
    now_ = to;
    day_ = DayOf(to);
    ends_ = (to / width_ + 1) * width_;
  }
  // Makes day_ the day whose last event is the next one of all.
  void Find() {
    for (std::size_t looked = 0; looked <= days_.size(); ++looked) {
      if (!days_[day_].empty() && days_[day_].back().at < ends_) return;
      day_ = (day_ + 1) % days_.size();
      ends_ += width_;
    }
    // A year without any: straight to the earliest.
    const Day* first = nullptr;
    for (const Day& day : days_)
      if (!day.empty() && (first == nullptr || day.back() < first->back())) first = &day;
    Turn(first->back().at);
  }
  void Resize(std::size_t days, Micros width) {
    width_ = std::max<Micros>(1, width);
    days_.assign(days, {});
    size_ = 0;
    Turn(now_);
  }
  void Rebuild(std::size_t days) {
    std::vector<Event<Payload>> all;
    all.reserve(size_);
    for (Day& day : days_) std::move(day.begin(), day.end(), std::back_inserter(all));
    // Three mean gaps among the earliest: far ones say nothing of the density that is met next.
    const std::size_t sample = std::min<std::size_t>(all.size(), 64);
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(sample), all.end());
    const Micros width =
        sample > 1 ? 3 * (all[sample - 1].at - all[0].at) / static_cast<Micros>(sample) : width_;
    Resize(days, width);
    for (Event<Payload>& event : all) Put(std::move(event));
  }

  std::vector<Day> days_;
  std::size_t day_ = 0, size_ = 0;
  Micros width_ = 1000, ends_ = 0, now_ = 0;
  std::uint64_t number_ = 0;
};

}  // namespace opalroute::lab
