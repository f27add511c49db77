// A stand-in name server on loopback, UDP and TCP on one port: a zone of its own, and every way to misbehave
// that a resolver has to bear. Written from RFC 1035 and its successors.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dns/message.h"
#include "lab/sessions.h"
#include "net/connection.h"
#include "net/datagram.h"
#include "net/listener.h"

namespace opalroute::lab {

class NameServer {
 public:
  // How it answers a question, by datagram and by TCP.
  struct Entry {
    std::vector<dns::Record> answers, authority;
    dns::Rcode rcode = dns::Rcode::kNoError;
    net::Seconds delay = 0;
    enum class Fault {
      kNone,
      kSilent,
      kWrongId,        // a forged answer comes before the true one
      kWrongQuestion,  // the same
      kWrongSource,    // from another port, and nothing else
      kGarbage,        // bytes that are no message, and then the true answer
      kNoEdns,         // FORMERR to a question with EDNS0
      kUpperCase       // the name comes back in capitals
    } fault = Fault::kNone;
    enum class Tcp { kWhole, kRefuses, kClosesAtOnce, kHalf, kTwice } tcp = Tcp::kWhole;
    bool truncated = false;  // by datagram, however short
  };

  explicit NameServer(net::EventLoop& loop);
  ~NameServer();

  sockaddr_in address() const { return udp_->address(); }
  void Set(const dns::Question& question, Entry entry);
  void Remove(const dns::Question& question) { zone_.erase(question); }  // 'no such name' from then on
  void SetSilent(bool silent) { silent_ = silent; }                      // whatever it is asked
  void SetTcp(bool open);                                                // its TCP port, from open to closed
  long datagrams() const { return datagrams_; }                          // questions that came
  long tcp_questions() const { return tcp_questions_; }
  long connections() const { return connections_; }

 private:
  class Session;
  std::string AnswerTo(const dns::Message& query, const Entry& entry, bool tcp) const;
  const Entry& EntryFor(const dns::Message& query) const;
  void TakeDatagram(const sockaddr_in& from, const std::string& bytes);
  void Later(net::Seconds delay, std::function<void()> then);

  net::EventLoop& loop_;
  std::unique_ptr<net::DatagramSocket> udp_, other_;
  std::unique_ptr<net::Listener> tcp_;
  std::map<dns::Question, Entry> zone_;
  Entry unknown_;
  bool silent_ = false;
  long datagrams_ = 0, tcp_questions_ = 0, connections_ = 0;
  Sessions<Session> sessions_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace opalroute::lab
