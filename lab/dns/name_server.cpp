#include "lab/dns/name_server.h"

#include <algorithm>
#include <cctype>
#include <system_error>
#include <utility>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr std::size_t kLongest = 65535, kWithoutEdns = 512;

std::string Framed(const std::string& message) {
  return std::string{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)} +
         message;
}

}  // namespace

class NameServer::Session : public net::Connection::Owner {
 public:
  explicit Session(NameServer& server) : server_(server) {}
  bool Open(int fd) {
    connection_ = net::Connection::Adopt(server_.loop_, fd, *this, 2 * kLongest, 4 * kLongest);
    return connection_ != nullptr;
  }
  void Close() { connection_->Close(); }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (!in.empty()) {
      const std::string_view piece = in.Front();
      bytes_ += piece;
      in.Consume(piece.size());
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
  // False: the connection is no more.
  bool Answer(const std::string& bytes) {
    const auto decoded = dns::Decode(bytes);
    const auto* query = std::get_if<dns::Message>(&decoded);
    if (query == nullptr || query->questions.size() != 1) {
      server_.sessions_.Remove(*this);
      return false;
    }
    ++server_.tcp_questions_;
    const Entry& entry = server_.EntryFor(*query);
    if (server_.silent_) return true;
    const std::string whole = Framed(server_.AnswerTo(*query, entry, true));
    switch (entry.tcp) {
      case Entry::Tcp::kWhole:
        connection_->Write(whole);
        return true;
      case Entry::Tcp::kTwice:
        connection_->Write(whole + whole);
        return true;
      case Entry::Tcp::kHalf:
        connection_->Write(whole.substr(0, 1));
        break;
      case Entry::Tcp::kRefuses:
      case Entry::Tcp::kClosesAtOnce:
        break;
    }
    server_.sessions_.Remove(*this);
    return false;
  }

  NameServer& server_;
  std::unique_ptr<net::Connection> connection_;
  std::string bytes_;
};

NameServer::NameServer(net::EventLoop& loop) : loop_(loop), sessions_(loop) {
  unknown_.rcode = dns::Rcode::kNxDomain;
  const auto any = *net::ParseAddress("127.0.0.1:0");
  other_ = std::make_unique<net::DatagramSocket>(loop, any, kLongest, [](const sockaddr_in&, std::string) {});
  // Both protocols want one port: a few tries until one is free for both.
  for (int tries = 0; tcp_ == nullptr; ++tries) {
    udp_ = std::make_unique<net::DatagramSocket>(
        loop, any, kLongest,
        [this](const sockaddr_in& from, const std::string& bytes) { TakeDatagram(from, bytes); });
    try {
      SetTcp(true);
    } catch (const std::system_error&) {
      if (tries == 20) throw;
    }
  }
}

NameServer::~NameServer() = default;

void NameServer::SetTcp(bool open) {
  tcp_.reset();
  if (!open) return;
  tcp_ = std::make_unique<net::Listener>(loop_, address(), [this](int fd) {
    ++connections_;
    sessions_.Add(std::make_unique<Session>(*this), fd);
  });
}

void NameServer::Set(const dns::Question& question, Entry entry) { zone_[question] = std::move(entry); }

const NameServer::Entry& NameServer::EntryFor(const dns::Message& query) const {
  const auto it = zone_.find(query.questions[0]);
  return it == zone_.end() ? unknown_ : it->second;
}

std::string NameServer::AnswerTo(const dns::Message& query, const Entry& entry, bool tcp) const {
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
  const std::size_t most = std::max<std::size_t>(kWithoutEdns, query.edns_udp_size.value_or(0));
  if (!tcp && (entry.truncated || bytes.size() > most)) {
    // What fits, as servers do: a part that must not be taken for the whole.
    while (!answer.answers.empty() && dns::Encode(answer).size() > most) answer.answers.pop_back();
    if (!answer.answers.empty()) answer.answers.pop_back();
    answer.truncated = true;
    bytes = dns::Encode(answer);
  }
  if (entry.fault == Entry::Fault::kUpperCase) {
    constexpr std::size_t kHeader = 12;
    const std::size_t ends = kHeader + query.questions[0].name.wire().size();
    for (std::size_t i = kHeader; i < ends; ++i)
      bytes[i] = static_cast<char>(std::toupper(static_cast<unsigned char>(bytes[i])));
  }
  return bytes;
}

void NameServer::Later(net::Seconds delay, std::function<void()> then) {
  if (delay <= 0) return then();
  loop_.At(loop_.Now() + delay, [alive = std::weak_ptr<bool>(alive_), then = std::move(then)] {
    if (!alive.expired()) then();
  });
}

void NameServer::TakeDatagram(const sockaddr_in& from, const std::string& bytes) {
  const auto decoded = dns::Decode(bytes);
  const auto* query = std::get_if<dns::Message>(&decoded);
  if (query == nullptr || query->questions.size() != 1) return;
  ++datagrams_;
  const Entry& entry = EntryFor(*query);
  if (silent_ || entry.fault == Entry::Fault::kSilent) return;
  const std::string answer = AnswerTo(*query, entry, false);
  Later(entry.delay, [this, from, answer, query = *query, fault = entry.fault] {
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
      other_->Send(from, answer);
      return;
    }
    udp_->Send(from, answer);
  });
}

}  // namespace opalroute::lab
