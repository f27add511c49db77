// A fake name server on loopback, with UDP and TCP on the same port: it answers from a configurable zone and
// can simulate the faults that a resolver must tolerate. Implements RFC 1035 and its successors.
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

class FakeNameServer {
 public:
  // The answer to one question, over UDP and TCP.
  struct Entry {
    std::vector<dns::Record> answers, authority;
    dns::Rcode rcode = dns::Rcode::kNoError;
    net::Seconds delay = 0;
    enum class Fault {
      kNone,
      kSilent,
      kWrongId,        // a forged answer with another id, then the true one
      kWrongQuestion,  // a forged answer to another question, then the true one
      kWrongSource,    // only an answer from another port
      kGarbage,        // a truncated, undecodable answer, then the true one
      kNoEdns,         // FORMERR to a query with EDNS0
      kUpperCase       // the answer repeats the name in upper case
    } fault = Fault::kNone;
    enum class Tcp {
      kComplete,
      kRefuses,            // closes the connection; a test also closes the port with SetTcp
      kClosesImmediately,  // closes the connection without an answer
      kFirstByteOnly,      // closes it after the answer's first byte
      kTwice               // sends the answer twice
    } tcp = Tcp::kComplete;
    bool truncated = false;  // over UDP, regardless of the answer's length
  };

  explicit FakeNameServer(net::EventLoop& loop);
  ~FakeNameServer();

  sockaddr_in address() const { return udp_->address(); }
  void Set(const dns::Question& question, Entry entry);
  void Remove(const dns::Question& question) { zone_.erase(question); }  // NXDOMAIN from then on
  void SetSilent(bool silent) { silent_ = silent; }                      // true: answers no query
  void SetTcp(bool open);                                                // opens or closes the TCP port
  long datagrams() const { return datagrams_; }                          // queries received over UDP
  long tcp_queries() const { return tcp_queries_; }
  long connections() const { return connections_; }

 private:
  class Session;
  std::string BuildAnswer(const dns::Message& query, const Entry& entry, bool tcp) const;
  const Entry& FindEntry(const dns::Message& query) const;
  void OnDatagram(const sockaddr_in& from, const std::string& bytes);
  void RunAfter(net::Seconds delay, std::function<void()> action);

  net::EventLoop& loop_;
  std::unique_ptr<net::DatagramSocket> udp_, other_port_;
  std::unique_ptr<net::Listener> tcp_;
  std::map<dns::Question, Entry> zone_;
  Entry nx_domain_;
  bool silent_ = false;
  long datagrams_ = 0, tcp_queries_ = 0, connections_ = 0;
  Sessions<Session> sessions_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace opalroute::lab
