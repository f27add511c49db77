#include "cli/page.h"

#include <utility>

#include "config/limits.h"
#include "net/http_client.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;

constexpr net::Seconds kTimeout = 10;  // for the whole call

// One call to a relay's --admin-listen: GET, or POST if there is a body. Done when the constructor returns.
class AdminCall : public net::HttpClient::Call {
 public:
  AdminCall(const sockaddr_in& address, std::string path, std::string body = "")
      : path_(std::move(path)), body_(std::move(body)), client_(loop_, Bounds()) {
    timer_ = loop_.At(loop_.Now() + kTimeout, [this] { loop_.Stop(); });
    client_.Start({address}, *this);
    loop_.Run();
    if (!ended_) client_.Abandon(*this);
  }
  int status = 0;  // 0: no response
  std::string text;

 private:
  static net::ClientBounds Bounds() {
    const Limits limits;
    net::ClientBounds bounds;
    bounds.http = {limits.head_bytes, limits.header_count, limits.admin_response_bytes};
    bounds.request_bytes = limits.head_bytes;
    bounds.connections = 1;
    bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = bounds.response_rest_timeout =
        kTimeout;
    return bounds;
  }
  std::string OnReady() override {
    return net::FormatRequest(body_.empty() ? "GET" : "POST", path_, {{"Host", "admin"}}, body_);
  }
  void OnResponse(net::HttpMessage& response) override {
    status = response.status;
    text = std::move(response.body);
    ended_ = true;
    loop_.Stop();
  }
  void OnFailure(net::HttpClient::Failure, int) override {
    ended_ = true;
    loop_.Stop();
  }

  const std::string path_, body_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  net::HttpClient client_;
  net::EventLoop::TimerId timer_ = 0;
  bool ended_ = false;
};

}  // namespace

ordered_json FetchPage(const sockaddr_in& from, const std::string& path) {
  const AdminCall call(from, path);
  return call.status == 200 ? ordered_json::parse(call.text, nullptr, false) : ordered_json();
}

PostResponse PostPage(const sockaddr_in& to, const std::string& path, const std::string& body) {
  AdminCall call(to, path, body);
  return {call.status, std::move(call.text)};
}

}  // namespace opalroute::cli
