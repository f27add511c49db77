// A budget for the memory of buffers whose size remote sides decide. Each kind of owner has a share of its
// own, so that none of them can use up the memory of another.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>

#include "net/event_loop.h"

namespace opalroute::net {

enum class MemoryOwner {
  kClients,    // connections of clients: input, unfinished requests, output
  kRequests,   // accepted requests and their entries in the journal
  kEndpoints,  // calls to endpoints and to the platform, and their responses
  kDiscovery,  // endpoint lists that are being received
  kOperators,  // connections of operators
};
constexpr std::size_t kMemoryOwners = 5;
const char* NameOf(MemoryOwner owner);

class MemoryBudget {
 public:
  using Shares = std::array<std::size_t, kMemoryOwners>;  // in bytes, by MemoryOwner

  // What an owner holds and may hold, in bytes.
  struct Figures {
    std::size_t held = 0, peak = 0, share = 0;
    long refusals = 0;  // requests for more that its share did not cover
  };

  // Is told once that memory of its owner was released.
  class Waiter {
   public:
    virtual ~Waiter() = default;
    virtual void OnMemoryReleased() = 0;
  };

  // Ends what holds much of an owner's memory and makes no progress. Returns false if there is nothing.
  using Reclaim = std::function<bool()>;

  // `loop` must outlive the budget.
  MemoryBudget(EventLoop& loop, const Shares& shares);
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Is called, from the loop, while something waits for memory of the owner; null: nothing can be reclaimed.
  void SetReclaim(MemoryOwner owner, Reclaim reclaim);

  // Holds more for an owner if its share covers it.
  bool TryHold(MemoryOwner owner, std::size_t bytes);
  // Holds what is allocated already, whether or not the share covers it.
  void Hold(MemoryOwner owner, std::size_t bytes);
  void Release(MemoryOwner owner, std::size_t bytes);

  // A waiter that waits already keeps its place.
  void AwaitRelease(MemoryOwner owner, Waiter& waiter);
  void CancelWait(MemoryOwner owner, Waiter& waiter);

  const Figures& figures(MemoryOwner owner) const { return At(owner).figures; }

 private:
  struct Account {
    Figures figures;
    Reclaim reclaim;
    std::list<Waiter*> waiters;
  };
  Account& At(MemoryOwner owner) { return accounts_[static_cast<std::size_t>(owner)]; }
  const Account& At(MemoryOwner owner) const { return accounts_[static_cast<std::size_t>(owner)]; }
  void ScheduleRelief(Seconds after);
  void RelieveAll();
  void Relieve(Account& account);
  void ScheduleTrim();

  EventLoop& loop_;
  std::array<Account, kMemoryOwners> accounts_;
  std::size_t held_ = 0;             // by all owners
  std::size_t peak_since_trim_ = 0;  // of that
  EventLoop::TimerId relief_timer_ = 0, trim_timer_ = 0;
};

// What one buffer, or one connection, holds of a budget. Is released with the object.
class MemoryHolding {
 public:
  // `budget` may be null: nothing is limited then.
  MemoryHolding(MemoryBudget* budget, MemoryOwner owner) : budget_(budget), owner_(owner) {}
  ~MemoryHolding() { Set(0); }
  MemoryHolding(const MemoryHolding&) = delete;
  MemoryHolding& operator=(const MemoryHolding&) = delete;

  std::size_t bytes() const { return bytes_; }
  // False if the share does not cover that much more; the waiter is told once there is memory again. Up to
  // kAllowedBytes may be held however scarce memory is: the objects of a connection and a block of a buffer.
  static constexpr std::size_t kAllowedBytes = 8192;
  bool GrowOrAwait(std::size_t bytes, MemoryBudget::Waiter& waiter);
  // Releases all of it for good; a waiter is told nothing more. The budget may be destroyed before this
  // object then.
  void Detach(MemoryBudget::Waiter& waiter);
  // Sets the bytes that are held, whether or not the budget covers them.
  void Set(std::size_t bytes);

 private:
  MemoryBudget* budget_;
  const MemoryOwner owner_;
  std::size_t bytes_ = 0;
};

}  // namespace opalroute::net
