// A fake discovery service on loopback sockets that can be overloaded, silent or unreachable, and a fake
// endpoint and client to go with it. They implement the documented protocol independently of the relay's
// code, and run on the caller's event loop.
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

constexpr net::HttpBounds kFakeHttpBounds{16 * 1024, 64, 1 << 20};

// The bounds of a fake endpoint: it keeps connections open for long.
inline net::ServerBounds FakeServerBounds() {
  net::ServerBounds bounds;
  bounds.http = kFakeHttpBounds;
  bounds.response_bytes = 4096;
  bounds.connections = 256;
  bounds.requests_per_turn = 16;
  bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout = bounds.crowded_idle_timeout =
      60;
  bounds.linger_timeout = 0.5;
  bounds.linger_bytes = 4096;
  return bounds;
}

// A discovery service for one relay. Its list has two endpoints of one destination; the first can start to
// drain.
class FakeDiscovery {
 public:
  enum class Reply {
    kServe,   // the list, then an empty line every 2 s
    kBusy,    // 503 after `busy_delay`: an overloaded server that gives up on a queued request
    kSilent,  // no response; the connection stays open
  };
  using ChooseReply = std::function<Reply()>;  // called when a watch request arrives

  // `first`, `second`: addresses of the two endpoints. Listens on a free loopback port.
  FakeDiscovery(net::EventLoop& loop, std::string first, std::string second, ChooseReply choose_reply)
      : loop_(loop),
        first_(std::move(first)),
        second_(std::move(second)),
        choose_reply_(std::move(choose_reply)),
        sessions_(loop) {
    MoveToNewPort();
  }

  sockaddr_in address() const { return address_; }
  // Switches to another port. The old one accepts no more connections; open ones stay.
  void MoveToNewPort() { ListenAt(*net::ParseAddress("127.0.0.1:0")); }
  // Closes all connections and refuses new ones until EndOutage.
  void StartOutage() {
    listener_.reset();
    while (!sessions_.all().empty()) sessions_.Remove(*sessions_.all().begin()->first);
  }
  void EndOutage() { ListenAt(address_); }
  // Open watches stay open but send nothing more, not even heartbeats.
  void SilenceOpenWatches() { first_unsilenced_session_ = ++last_session_; }
  // Sets the first endpoint to draining and sends the list on the open watches.
  void DrainFirstEndpoint() {
    is_draining_ = true;
    for (const auto& [key, session] : sessions_.all()) session->SendList();
  }
  // Sends `line`, a list or changes to it, on the open watches. Later watches begin with `complete_list`.
  void Publish(const std::string& line, std::string complete_list) {
    published_list_ = std::move(complete_list);
    for (const auto& [key, session] : sessions_.all()) session->SendLine(line);
  }
  // When a list with the draining endpoint was first sent to the relay; negative: not yet.
  net::Seconds drain_sent_at() const { return drain_sent_at_; }
  int calls() const { return calls_; }                                 // number of watch requests
  const std::string& notifications() const { return notifications_; }  // the lines of all of them

  net::Seconds busy_delay = 0.5;

 private:
  class Session : public net::Connection::Owner {
   public:
    Session(FakeDiscovery& service, int number)
        : service_(service), number_(number), parser_(net::HttpParser::Kind::kRequest, kFakeHttpBounds) {}
    ~Session() override { service_.loop_.Cancel(timer_); }
    bool Open(int fd) {
      connection_ = net::Connection::Adopt(service_.loop_, fd, *this, {64 * 1024, 4 << 20});
      return connection_ != nullptr;
    }
    void Close() {
      service_.loop_.Cancel(timer_);
      connection_->Close();
    }
    void OnData(net::Connection& connection) override {
      net::RingBuffer& in = connection.in();
      while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Parse(in.Front()));
      if (parser_.done()) Respond(std::exchange(parser_.message(), {}));
      if (connection.peer_closed()) service_.sessions_.Remove(*this);
    }
    void OnClosed(net::Connection&, net::Connection::CloseReason) override {
      service_.sessions_.Remove(*this);
    }
    void SendLine(const std::string& line) {
      if (is_watch_ && !is_silenced()) WriteChunk(line + "\n");
    }
    void SendList() {
      if (!is_watch_ || is_silenced()) return;
      WriteChunk(service_.ListJson() + "\n");
      if (service_.is_draining_ && service_.drain_sent_at_ < 0)
        service_.drain_sent_at_ = service_.loop_.Now();
    }

   private:
    bool is_silenced() const { return number_ < service_.first_unsilenced_session_; }
    void Respond(const net::HttpMessage& request) {
      parser_.Reset();
      if (request.method == "POST") {
        service_.notifications_ += request.body;
        return void(connection_->Write(net::FormatResponse(204, {}, "")));
      }
      ++service_.calls_;
      switch (service_.choose_reply_()) {
        case Reply::kServe:
          is_watch_ = true;
          connection_->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          SendList();
          return ScheduleHeartbeat();
        case Reply::kBusy:
          timer_ = service_.loop_.At(service_.loop_.Now() + service_.busy_delay, [this] {
            timer_ = 0;
            connection_->Write(net::FormatResponse(503, {}, ""));
          });
          return;
        case Reply::kSilent:
          return;
      }
    }
    void WriteChunk(const std::string& line) {
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", line.size());
      connection_->Write(size + line + "\r\n");
    }
    void ScheduleHeartbeat() {
      constexpr net::Seconds kHeartbeatInterval = 2;  // an empty line while nothing changes
      timer_ = service_.loop_.At(service_.loop_.Now() + kHeartbeatInterval, [this] {
        timer_ = 0;
        if (!is_silenced()) WriteChunk("\n");
        ScheduleHeartbeat();
      });
    }

    FakeDiscovery& service_;
    const int number_;
    std::unique_ptr<net::Connection> connection_;
    net::HttpParser parser_;
    bool is_watch_ = false;
    net::EventLoop::TimerId timer_ = 0;
  };

  void ListenAt(const sockaddr_in& address) {
    listener_.reset();
    listener_ = std::make_unique<net::Listener>(loop_, address, [this](int fd) {
      sessions_.Add(std::make_unique<Session>(*this, ++last_session_), fd);
    });
    address_ = listener_->address();
  }
  std::string EndpointJson(const char* id, const std::string& address, bool is_draining) const {
    return std::string("{\"instanceId\":\"") + id + "\",\"hostPort\":\"" + address +
           "\",\"zone\":\"ground\",\"machineType\":\"small\",\"cell\":7,\"lifecycle\":\"" +
           (is_draining ? "draining" : "ready") + "\",\"weight\":1000,\"startedAtMs\":0}";
  }
  std::string ListJson() const {
    if (!published_list_.empty()) return published_list_;
    return "{\"generation\":" + std::to_string(is_draining_ ? 43 : 42) + ",\"reset\":true,\"instances\":[" +
           EndpointJson("first", first_, is_draining_) + "," + EndpointJson("second", second_, false) + "]}";
  }

  net::EventLoop& loop_;
  const std::string first_, second_;
  const ChooseReply choose_reply_;
  std::string notifications_;
  std::string published_list_;  // empty: the list of the two endpoints
  bool is_draining_ = false;
  int last_session_ = 0, first_unsilenced_session_ = 0, calls_ = 0;
  net::Seconds drain_sent_at_ = -1;
  sockaddr_in address_{};
  lab::Sessions<Session> sessions_;
  std::unique_ptr<net::Listener> listener_;
};

// An endpoint that answers every call with 200 and remembers when the latest one arrived.
class FakeEndpoint : private net::HttpServer::Handler {
 public:
  explicit FakeEndpoint(net::EventLoop& loop)
      : loop_(loop), server_(loop, *net::ParseAddress("127.0.0.1:0"), FakeServerBounds(), *this) {}
  std::string address() const { return net::FormatAddress(server_.address()); }
  net::Seconds latest_call() const { return latest_call_; }
  int calls() const { return calls_; }

 private:
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

// Sends requests of an idempotent class to a relay, one after the other.
class FakeClient : private net::HttpClient::Call {
 public:
  FakeClient(net::EventLoop& loop, const sockaddr_in& relay, std::string name)
      : loop_(loop), relay_(relay), name_(std::move(name)), client_(loop, Bounds()) {
    SendRequest();
  }
  ~FakeClient() override {
    loop_.Cancel(timer_);
    if (in_flight_) client_.Abandon(*this);
  }
  int accepted() const { return accepted_; }

 private:
  static constexpr net::Seconds kInterval = 0.04;
  static net::ClientBounds Bounds() {
    net::ClientBounds bounds;
    bounds.http = kFakeHttpBounds;
    bounds.request_bytes = 4096;
    bounds.connections = 4;
    bounds.connect_timeout = bounds.response_timeout = bounds.response_rest_timeout = 5;
    bounds.idle_timeout = 1;
    return bounds;
  }
  void SendRequest() {
    timer_ = 0;
    in_flight_ = true;
    client_.Start({relay_}, *this);
  }
  void ScheduleRequest() {
    in_flight_ = false;
    timer_ = loop_.At(loop_.Now() + kInterval, [this] { SendRequest(); });
  }
  std::string OnReady() override {
    return net::FormatRequest("POST", "/api",
                              {{"Host", "app.svc"},
                               {"X-Txn", name_ + "-" + std::to_string(++sent_)},
                               {"X-Lane", "status"},
                               {"X-Org", "nord"},
                               {"X-Remaining-Ms", "4000"},
                               {"X-Addressing", "dest=7"}},
                              "text");
  }
  void OnResponse(net::HttpMessage& response) override {
    if (response.status == 202) ++accepted_;
    ScheduleRequest();
  }
  void OnFailure(net::HttpClient::Failure, int) override { ScheduleRequest(); }

  net::EventLoop& loop_;
  const sockaddr_in relay_;
  const std::string name_;
  net::HttpClient client_;
  bool in_flight_ = false;
  int sent_ = 0, accepted_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute
