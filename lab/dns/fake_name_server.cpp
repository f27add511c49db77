#include "lab/dns/fake_name_server.h"

#include <algorithm>
#include <cctype>
#include <system_error>
#include <utility>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr std::size_t kMaxMessageSize = 65535, kMaxUdpSizeWithoutEdns = 512;

std::string AddLengthPrefix(const std::string& message) {
  return std::string{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)} +
         message;
}

}  // namespace

class FakeNameServer::Session : public net::Connection::Owner {
 public:
  explicit Session(FakeNameServer& server) : server_(server) {}
  bool Open(int fd) {
    connection_ =
        net::Connection::Adopt(server_.loop_, fd, *this, {2 * kMaxMessageSize, 4 * kMaxMessageSize});
    return connection_ != nullptr;
  }
  void Close() { connection_->Close(); }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (!in.empty()) {
      const std::string_view front = in.Front();
      bytes_ += front;
      in.Consume(front.size());
    }
    while (bytes_.size() >= 2) {
      const std::size_t length = static_cast<std::size_t>(static_cast<unsigned char>(bytes_[0])) << 8 |
                                 static_cast<unsigned char>(bytes_[1]);
      if (bytes_.size() < 2 + length) return;
      const std::string query = bytes_.substr(2, length);
      bytes_.erase(0, 2 + length);
      if (!Answer(query)) return;
    }
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override { server_.sessions_.Remove(*this); }

 private:
  // Returns false if the connection has been dropped.
  bool Answer(const std::string& bytes) {
    const auto decoded = dns::Decode(bytes);
    const auto* query = std::get_if<dns::Message>(&decoded);
    if (query == nullptr || query->questions.size() != 1) {
      server_.sessions_.Remove(*this);
      return false;
    }
    ++server_.tcp_queries_;
    const Entry& entry = server_.FindEntry(*query);
    if (server_.silent_) return true;
    const std::string whole = AddLengthPrefix(server_.BuildAnswer(*query, entry, true));
    switch (entry.tcp) {
      case Entry::Tcp::kComplete:
        connection_->Write(whole);
        return true;
      case Entry::Tcp::kTwice:
        connection_->Write(whole + whole);
        return true;
      case Entry::Tcp::kFirstByteOnly:
        connection_->Write(whole.substr(0, 1));
        break;
      case Entry::Tcp::kRefuses:
      case Entry::Tcp::kClosesImmediately:
        break;
    }
    server_.sessions_.Remove(*this);
    return false;
  }

  FakeNameServer& server_;
  std::unique_ptr<net::Connection> connection_;
  std::string bytes_;
};

FakeNameServer::FakeNameServer(net::EventLoop& loop) : loop_(loop), sessions_(loop) {
  nx_domain_.rcode = dns::Rcode::kNxDomain;
  const auto any = *net::ParseAddress("127.0.0.1:0");
  other_port_ = std::make_unique<net::DatagramSocket>(loop, any, kMaxMessageSize,
                                                      [](const sockaddr_in&, std::string) {});
  // UDP and TCP need the same port number: tries until a free UDP port is free for TCP as well.
  for (int tries = 0; tcp_ == nullptr; ++tries) {
    udp_ = std::make_unique<net::DatagramSocket>(
        loop, any, kMaxMessageSize,
        [this](const sockaddr_in& from, const std::string& bytes) { OnDatagram(from, bytes); });
    try {
      SetTcp(true);
    } catch (const std::system_error&) {
      if (tries == 20) throw;
    }
  }
}

FakeNameServer::~FakeNameServer() = default;

void FakeNameServer::SetTcp(bool open) {
  tcp_.reset();
  if (!open) return;
  tcp_ = std::make_unique<net::Listener>(loop_, address(), [this](int fd) {
    ++connections_;
    sessions_.Add(std::make_unique<Session>(*this), fd);
  });
}

void FakeNameServer::Set(const dns::Question& question, Entry entry) { zone_[question] = std::move(entry); }

const FakeNameServer::Entry& FakeNameServer::FindEntry(const dns::Message& query) const {
  const auto it = zone_.find(query.questions[0]);
  return it == zone_.end() ? nx_domain_ : it->second;
}

std::string FakeNameServer::BuildAnswer(const dns::Message& query, const Entry& entry, bool tcp) const {
  dns::Message answer;
  answer.id = query.id;
  answer.response = answer.recursion_available = true;
  answer.questions = query.questions;
  if (entry.fault == Entry::Fault::kNoEdns && query.edns_udp_size) {
    answer.rcode = dns::Rcode::kFormErr;
    return dns::Encode(answer);
  }
  answer.rcode = entry.rcode;
  answer.answers = entry.answers;
  answer.authority = entry.authority;
  if (query.edns_udp_size) answer.edns_udp_size = 1232;
  std::string bytes = dns::Encode(answer);
  const std::size_t max_size = std::max<std::size_t>(kMaxUdpSizeWithoutEdns, query.edns_udp_size.value_or(0));
  if (!tcp && (entry.truncated || bytes.size() > max_size)) {
    // Includes the records that fit, less one, as real servers include some: a client must not treat them as
    // the whole answer.
    while (!answer.answers.empty() && dns::Encode(answer).size() > max_size) answer.answers.pop_back();
    if (!answer.answers.empty()) answer.answers.pop_back();
    answer.truncated = true;
    bytes = dns::Encode(answer);
  }
  if (entry.fault == Entry::Fault::kUpperCase) {
    constexpr std::size_t kHeader = 12;
    const std::size_t end = kHeader + query.questions[0].name.wire().size();
    for (std::size_t i = kHeader; i < end; ++i)
      bytes[i] = static_cast<char>(std::toupper(static_cast<unsigned char>(bytes[i])));
  }
  return bytes;
}

void FakeNameServer::RunAfter(net::Seconds delay, std::function<void()> action) {
  if (delay <= 0) return action();
  loop_.At(loop_.Now() + delay, [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
    if (!alive.expired()) action();
  });
}

void FakeNameServer::OnDatagram(const sockaddr_in& from, const std::string& bytes) {
  const auto decoded = dns::Decode(bytes);
  const auto* query = std::get_if<dns::Message>(&decoded);
  if (query == nullptr || query->questions.size() != 1) return;
  ++datagrams_;
  const Entry& entry = FindEntry(*query);
  if (silent_ || entry.fault == Entry::Fault::kSilent) return;
  const std::string answer = BuildAnswer(*query, entry, false);
  RunAfter(entry.delay, [this, from, answer, query = *query, fault = entry.fault] {
    dns::Message forged = query;
    forged.response = true;
    if (fault == Entry::Fault::kWrongId) {
      forged.id = static_cast<std::uint16_t>(forged.id + 1);
      udp_->Send(from, dns::Encode(forged));
    } else if (fault == Entry::Fault::kWrongQuestion) {
      forged.questions[0].name = *dns::Name::Parse("other.example");
      udp_->Send(from, dns::Encode(forged));
    } else if (fault == Entry::Fault::kGarbage) {
      udp_->Send(from, answer.substr(0, answer.size() / 2));
    } else if (fault == Entry::Fault::kWrongSource) {
      other_port_->Send(from, answer);
      return;
    }
    udp_->Send(from, answer);
  });
}

}  // namespace opalroute::lab
