#include "cli/page.h"

#include <utility>

#include "config/limits.h"
#include "net/http_client.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;

constexpr net::Seconds kTime = 10;  // for all of it

// One question to a relay's --admin-listen.
class Fetch : public net::HttpClient::Call {
 public:
  Fetch(const sockaddr_in& from, std::string path, std::string body = "")
      : path_(std::move(path)), body_(std::move(body)), client_(loop_, Bounds()) {
    timer_ = loop_.At(loop_.Now() + kTime, [this] { loop_.Stop(); });
    client_.Start({from}, *this);
    loop_.Run();
    if (!settled_) client_.Abandon(*this);
  }
  int status = 0;  // 0: no answer came
  std::string text;

 private:
  static net::ClientBounds Bounds() {
    const Limits limits;
    net::ClientBounds bounds;
    bounds.http = {limits.head_bytes, limits.header_count, limits.admin_bytes};
    bounds.request_bytes = limits.head_bytes;
    bounds.connections = 1;
    bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = bounds.response_rest_timeout =
        kTime;
    return bounds;
  }
  std::string OnReady() override {
    return net::FormatRequest(body_.empty() ? "GET" : "POST", path_, {{"Host", "admin"}}, body_);
  }
  void OnResponse(net::HttpMessage& answer) override {
    status = answer.status;
    text = std::move(answer.body);
    settled_ = true;
    loop_.Stop();
  }
  void OnFailure(net::HttpClient::Failure, int) override {
    settled_ = true;
    loop_.Stop();
  }

  const std::string path_, body_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  net::HttpClient client_;
  net::EventLoop::TimerId timer_ = 0;
  bool settled_ = false;
};

}  // namespace

ordered_json FetchPage(const sockaddr_in& from, const std::string& path) {
  const Fetch fetch(from, path);
  return fetch.status == 200 ? ordered_json::parse(fetch.text, nullptr, false) : ordered_json();
}

PostAnswer PostPage(const sockaddr_in& to, const std::string& path, const std::string& body) {
  Fetch fetch(to, path, body);
  return {fetch.status, std::move(fetch.text)};
}

}  // namespace opalroute::cli
