// A discovery service on loopback sockets that tests can make crowded, silent or unreachable, and an endpoint
// and a client beside it. Written from the protocol page; all run on the caller's event loop.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/sessions.h"
#include "net/address.h"
#include "net/connection.h"
#include "net/http.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listener.h"

namespace opalroute {

constexpr net::HttpBounds kStandInBounds{16 * 1024, 64, 1 << 20};

// One relay's view of discovery: two endpoints of one destination, of which the first begins to drain.
class DiscoveryStandIn {
 public:
  enum class Reply {
    kServe,   // the list, then an empty line every 2 s
    kBusy,    // 503 after `busy_time`: the call has waited too long
    kSilent,  // nothing, on a connection that stays open
  };
  using Plan = std::function<Reply()>;  // what happens to a call that arrives now

  // `first`, `second`: addresses of the two endpoints. Listens at a free loopback port.
  DiscoveryStandIn(net::EventLoop& loop, std::string first, std::string second, Plan plan)
      : loop_(loop),
        first_(std::move(first)),
        second_(std::move(second)),
        plan_(std::move(plan)),
        sessions_(loop) {
    Move();
  }

  sockaddr_in address() const { return address_; }
  // Takes another address; the one before accepts nothing more, as after a move.
  void Move() { ListenAt(*net::ParseAddress("127.0.0.1:0")); }
  // An outage: connections end, and new ones are refused, until Return.
  void GoDown() {
    listener_.reset();
    while (!sessions_.all().empty()) sessions_.Remove(*sessions_.all().begin()->first);
  }
  void Return() { ListenAt(address_); }
  // Watches that are open stay open and bring nothing more, no empty line either.
  void Mute() { mute_from_ = ++last_session_; }
  // From now on the first endpoint drains; open watches are told.
  void Drain() {
    drains_ = true;
    for (const auto& [key, session] : sessions_.all()) session->TellList();
  }
  // When a list in which the first endpoint drains was first written to the relay; negative: not yet.
  net::Seconds told_at() const { return told_at_; }
  int calls() const { return calls_; }  // watches asked for

  net::Seconds busy_time = 0.5;

 private:
  class Session : public net::Connection::Owner {
   public:
    Session(DiscoveryStandIn& service, int number)
        : service_(service), number_(number), parser_(net::HttpParser::Kind::kRequest, kStandInBounds) {}
    ~Session() override { service_.loop_.Cancel(timer_); }
    bool Open(int fd) {
      connection_ = net::Connection::Adopt(service_.loop_, fd, *this, 64 * 1024, 64 * 1024);
      return connection_ != nullptr;
    }
    void Close() {
      service_.loop_.Cancel(timer_);
      connection_->Close();
    }
    void OnData(net::Connection& connection) override {
      net::RingBuffer& in = connection.in();
      while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Parse(in.Front()));
      if (parser_.done()) Answer(std::exchange(parser_.message(), {}));
      if (connection.peer_closed()) service_.sessions_.Remove(*this);
    }
    void OnClosed(net::Connection&, net::Connection::CloseReason) override {
      service_.sessions_.Remove(*this);
    }
    void TellList() {
      if (!watches_ || muted()) return;
      WriteLine(service_.List() + "\n");
      if (service_.drains_ && service_.told_at_ < 0) service_.told_at_ = service_.loop_.Now();
    }

   private:
    bool muted() const { return number_ < service_.mute_from_; }
    void Answer(const net::HttpMessage& request) {
      parser_.Reset();
      if (request.method == "POST") return void(connection_->Write(net::FormatResponse(204, {}, "")));
      ++service_.calls_;
      switch (service_.plan_()) {
        case Reply::kServe:
          watches_ = true;
          connection_->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          TellList();
          return Beat();
        case Reply::kBusy:
          timer_ = service_.loop_.At(service_.loop_.Now() + service_.busy_time, [this] {
            timer_ = 0;
            connection_->Write(net::FormatResponse(503, {}, ""));
          });
          return;
        case Reply::kSilent:
          return;
      }
    }
    void WriteLine(const std::string& line) {
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", line.size());
      connection_->Write(size + line + "\r\n");
    }
    void Beat() {
      constexpr net::Seconds kBeat = 2;  // an empty line in a quiet watch (protocol page)
      timer_ = service_.loop_.At(service_.loop_.Now() + kBeat, [this] {
        timer_ = 0;
        if (!muted()) WriteLine("\n");
        Beat();
      });
    }

    DiscoveryStandIn& service_;
    const int number_;
    std::unique_ptr<net::Connection> connection_;
    net::HttpParser parser_;
    bool watches_ = false;
    net::EventLoop::TimerId timer_ = 0;
  };

  void ListenAt(const sockaddr_in& address) {
    listener_.reset();
    listener_ = std::make_unique<net::Listener>(loop_, address, [this](int fd) {
      sessions_.Add(std::make_unique<Session>(*this, ++last_session_), fd);
    });
    address_ = listener_->address();
  }
  std::string Row(const char* id, const std::string& address, bool drains) const {
    return std::string("{\"instanceId\":\"") + id + "\",\"hostPort\":\"" + address +
           "\",\"zone\":\"ground\",\"machineType\":\"small\",\"cell\":7,\"lifecycle\":\"" +
           (drains ? "draining" : "ready") + "\",\"weight\":1000,\"startedAtMs\":0}";
  }
  std::string List() const {
    return "{\"generation\":" + std::to_string(drains_ ? 43 : 42) + ",\"reset\":true,\"instances\":[" +
           Row("first", first_, drains_) + "," + Row("second", second_, false) + "]}";
  }

  net::EventLoop& loop_;
  const std::string first_, second_;
  const Plan plan_;
  bool drains_ = false;
  int last_session_ = 0, mute_from_ = 0, calls_ = 0;
  net::Seconds told_at_ = -1;
  sockaddr_in address_{};
  lab::Sessions<Session> sessions_;
  std::unique_ptr<net::Listener> listener_;
};

// An endpoint that delivers every message and notes when the latest call came.
class EndpointStandIn : private net::HttpServer::Handler {
 public:
  explicit EndpointStandIn(net::EventLoop& loop)
      : loop_(loop), server_(loop, *net::ParseAddress("127.0.0.1:0"), Bounds(), *this) {}
  std::string address() const { return net::FormatAddress(server_.address()); }
  net::Seconds latest_call() const { return latest_call_; }
  int calls() const { return calls_; }

 private:
  static net::ServerBounds Bounds() {
    net::ServerBounds bounds;
    bounds.http = kStandInBounds;
    bounds.response_bytes = 4096;
    bounds.connections = 256;
    bounds.requests_per_turn = 16;
    bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout =
        bounds.crowded_idle_timeout = 60;
    bounds.linger_timeout = 0.5;
    bounds.linger_bytes = 4096;
    return bounds;
  }
  net::HttpResponse OnRequest(net::HttpMessage&) override {
    latest_call_ = loop_.Now();
    ++calls_;
    return net::PlainTextResponse(200, "done");
  }
  void OnResponseLost(std::uint64_t) override {}

  net::EventLoop& loop_;
  net::Seconds latest_call_ = 0;
  int calls_ = 0;
  net::HttpServer server_;
};

// Hands a message of a class that is safe to repeat to a relay, again and again.
class ClientStandIn : private net::HttpClient::Call {
 public:
  ClientStandIn(net::EventLoop& loop, const sockaddr_in& relay, std::string name)
      : loop_(loop), relay_(relay), name_(std::move(name)), client_(loop, Bounds()) {
    Ask();
  }
  ~ClientStandIn() override {
    loop_.Cancel(timer_);
    if (out_) client_.Abandon(*this);
  }
  int taken() const { return taken_; }

 private:
  static constexpr net::Seconds kEvery = 0.04;
  static net::ClientBounds Bounds() {
    net::ClientBounds bounds;
    bounds.http = kStandInBounds;
    bounds.request_bytes = 4096;
    bounds.connections = 4;
    bounds.connect_timeout = bounds.response_timeout = bounds.response_rest_timeout = 5;
    bounds.idle_timeout = 1;
    return bounds;
  }
  void Ask() {
    timer_ = 0;
    out_ = true;
    client_.Start({relay_}, *this);
  }
  void AskLater() {
    out_ = false;
    timer_ = loop_.At(loop_.Now() + kEvery, [this] { Ask(); });
  }
  std::string OnReady() override {
    return net::FormatRequest("POST", "/api",
                              {{"Host", "app.svc"},
                               {"X-Txn", name_ + "-" + std::to_string(++asked_)},
                               {"X-Lane", "status"},
                               {"X-Org", "nord"},
                               {"X-Remaining-Ms", "4000"},
                               {"X-Addressing", "dest=7"}},
                              "text");
  }
  void OnResponse(net::HttpMessage& answer) override {
    if (answer.status == 202) ++taken_;
    AskLater();
  }
  void OnFailure(net::HttpClient::Failure, int) override { AskLater(); }

  net::EventLoop& loop_;
  const sockaddr_in relay_;
  const std::string name_;
  net::HttpClient client_;
  bool out_ = false;
  int asked_ = 0, taken_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute
