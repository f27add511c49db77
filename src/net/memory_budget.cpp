#include "net/memory_budget.h"

#include <algorithm>
#include <utility>

#include "net/allocator.h"

namespace opalroute::net {
namespace {

constexpr std::size_t kTrimBytes = std::size_t{128} * 1024;  // fall of what is held
constexpr Seconds kTrimInterval = 0.5;                       // a trim walks through the whole heap
constexpr Seconds kReliefInterval = 0.025;                   // while something waits for memory
constexpr std::size_t kSpareShare = 32;  // a waiter is woken up while at least 1/32 of the share is free

}  // namespace

const char* NameOf(MemoryOwner owner) {
  switch (owner) {
    case MemoryOwner::kClients:
      return "clients";
    case MemoryOwner::kRequests:
      return "requests";
    case MemoryOwner::kEndpoints:
      return "endpoints";
    case MemoryOwner::kDiscovery:
      return "discovery";
    case MemoryOwner::kOperators:
      return "operators";
  }
  return "";
}

MemoryBudget::MemoryBudget(EventLoop& loop, const Shares& shares) : loop_(loop) {
  for (std::size_t i = 0; i < kMemoryOwners; ++i) accounts_[i].figures.share = shares[i];
}

MemoryBudget::~MemoryBudget() {
  loop_.Cancel(relief_timer_);
  loop_.Cancel(trim_timer_);
}

void MemoryBudget::SetReclaim(MemoryOwner owner, Reclaim reclaim) { At(owner).reclaim = std::move(reclaim); }

bool MemoryBudget::TryHold(MemoryOwner owner, std::size_t bytes) {
  Figures& figures = At(owner).figures;
  if (figures.held + bytes > figures.share) {
    ++figures.refusals;
    return false;
  }
  Hold(owner, bytes);
  return true;
}

void MemoryBudget::Hold(MemoryOwner owner, std::size_t bytes) {
  Figures& figures = At(owner).figures;
  figures.held += bytes;
  figures.peak = std::max(figures.peak, figures.held);
  held_ += bytes;
  peak_since_trim_ = std::max(peak_since_trim_, held_);
}

void MemoryBudget::Release(MemoryOwner owner, std::size_t bytes) {
  Account& account = At(owner);
  account.figures.held -= bytes;
  held_ -= bytes;
  if (!account.waiters.empty()) ScheduleRelief(0);
  if (peak_since_trim_ - held_ >= kTrimBytes) ScheduleTrim();
}

void MemoryBudget::AwaitRelease(MemoryOwner owner, Waiter& waiter) {
  std::list<Waiter*>& waiters = At(owner).waiters;
  if (std::find(waiters.begin(), waiters.end(), &waiter) == waiters.end()) waiters.push_back(&waiter);
  ScheduleRelief(0);
}

void MemoryBudget::CancelWait(MemoryOwner owner, Waiter& waiter) { At(owner).waiters.remove(&waiter); }

// Not from within Release or AwaitRelease: their caller is in the middle of its own work.
void MemoryBudget::ScheduleRelief(Seconds after) {
  if (relief_timer_ != 0) return;
  relief_timer_ = loop_.At(loop_.Now() + after, [this] {
    relief_timer_ = 0;
    RelieveAll();
  });
}

void MemoryBudget::RelieveAll() {
  bool waiting = false;
  for (Account& account : accounts_) {
    Relieve(account);
    waiting = waiting || !account.waiters.empty();
  }
  if (waiting) ScheduleRelief(kReliefInterval);
}

// Wakes up each waiter once. Those that find no memory wait again, behind the others.
void MemoryBudget::Relieve(Account& account) {
  const Figures& figures = account.figures;
  const auto is_scarce = [&] { return figures.held + figures.share / kSpareShare >= figures.share; };
  for (std::size_t left = account.waiters.size(); left > 0 && !account.waiters.empty(); --left) {
    while (is_scarce() && account.reclaim && account.reclaim()) {
    }
    if (is_scarce()) return;
    Waiter& waiter = *account.waiters.front();
    account.waiters.pop_front();
    waiter.OnMemoryReleased();
  }
}

// The allocator keeps freed blocks that lie below others; the system counts them as the process's.
void MemoryBudget::ScheduleTrim() {
  if (trim_timer_ != 0) return;
  trim_timer_ = loop_.At(loop_.Now() + kTrimInterval, [this] {
    trim_timer_ = 0;
    peak_since_trim_ = held_;
    ReturnFreedMemory();
  });
}

bool MemoryHolding::GrowOrAwait(std::size_t bytes, MemoryBudget::Waiter& waiter) {
  if (bytes == 0 || budget_ == nullptr) return true;
  if (bytes_ + bytes <= kAllowedBytes) {
    budget_->Hold(owner_, bytes);
  } else if (!budget_->TryHold(owner_, bytes)) {
    budget_->AwaitRelease(owner_, waiter);
    return false;
  }
  bytes_ += bytes;
  return true;
}

void MemoryHolding::Detach(MemoryBudget::Waiter& waiter) {
  Set(0);
  if (budget_ != nullptr) budget_->CancelWait(owner_, waiter);
  budget_ = nullptr;
}

void MemoryHolding::Set(std::size_t bytes) {
  const std::size_t before = std::exchange(bytes_, bytes);
  if (budget_ == nullptr) return;
  if (bytes > before) budget_->Hold(owner_, bytes - before);
  if (bytes < before) budget_->Release(owner_, before - bytes);
}

}  // namespace opalroute::net
