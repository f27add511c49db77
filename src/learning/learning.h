// Learning from running instances: the one place at which it is attached to a relay. Brings the carriers
// (TCP, datagrams, the state folder), the judge and the relay's host together. Off unless the operators'
// settings say so.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "journal/persistent_clock.h"
#include "learning/donor.h"
#include "learning/judge.h"
#include "learning/learner.h"
#include "learning/notes.h"
#include "learning/state_file.h"

namespace opalroute::learning {

// What learning needs of the relay round it.
class Host {
 public:
  virtual ~Host() = default;
  virtual std::vector<Belief> Beliefs(std::optional<DestinationId>& from, int most) const = 0;
  virtual std::string NameOf(EndpointId endpoint) const = 0;
  // Only what the pool's list has named: hearing of an endpoint from others is not enough.
  virtual std::optional<EndpointId> ListedEndpoint(const std::string& name) const = 0;
  virtual bool ListedDestination(DestinationId destination) const = 0;
  virtual void Believe(Learned learned) = 0;
  virtual void SendNote(int peer, const std::string& bytes) = 0;
};

class Learning : private Learner::Owner {
 public:
  Learning(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
           const Operator::Learn& settings, Host& host);
  ~Learning() override;

  bool done() const { return learner_ == nullptr; }  // the relay may be put to use
  std::optional<sockaddr_in> donor_address() const;
  // False: it is not learning's.
  bool TakeNote(int peer, std::string_view bytes);
  void OnPoolNews();  // the list may name now what was told before

 private:
  void OnHeard(int donor, const Heard& heard, Seconds made) override;
  void OnAllEnded(const std::vector<Learner::Report>& reports) override;

  void LoadState();
  void ArmSave();
  void Save();
  void TakeAnswer(int peer, const Note& note);
  // Gives the relay what counts of the judge's; what it does not know yet waits.
  void Tell(Judge& judge, const char* carrier);
  bool TellOne(const Heard& heard, Learned& learned) const;
  std::vector<Heard> Export(std::optional<DestinationId>& from, int most) const;
  Rules RulesOf() const;

  struct Pending {
    Heard heard;
    Seconds made;
  };

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const Operator::Learn settings_;
  Host& host_;
  const Source source_;
  std::unique_ptr<Judge> judge_;
  std::unique_ptr<Learner> learner_;
  std::unique_ptr<Donor> donor_;
  std::unique_ptr<Notes> notes_;
  std::unique_ptr<StateFile> file_;
  std::vector<Pending> pending_;
  Seconds pending_until_ = 0;
  std::vector<Heard> gathered_;  // for the file
  std::unique_ptr<Slices> gathering_;
  bool file_holds_some_ = false;
  struct Asked {
    int peer;
    std::uint32_t nonce;
  };
  std::deque<Asked> askers_;
  std::vector<Heard> urgent_;
  std::unique_ptr<Slices> answering_;
  net::EventLoop::TimerId save_timer_ = 0;
};

}  // namespace opalroute::learning
