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
  Fetch(const sockaddr_in& from, std::string path) : path_(std::move(path)), client_(loop_, Bounds()) {
    timer_ = loop_.At(loop_.Now() + kTime, [this] { loop_.Stop(); });
    client_.Start({from}, *this);
    loop_.Run();
    if (!settled_) client_.Abandon(*this);
  }
  ordered_json page;

 private:
  static net::ClientBounds Bounds() {
    const Limits limits;
    net::ClientBounds bounds;
    bounds.http = {limits.head_bytes, limits.header_count, limits.admin_bytes};
    bounds.request_bytes = limits.head_bytes;
    bounds.connections = 1;
    bounds.connect_time = bounds.idle_time = bounds.answer_time = bounds.rest_time = kTime;
    return bounds;
  }
  std::string OnReady() override { return net::WriteRequest("GET", path_, {{"Host", "admin"}}, ""); }
  void OnAnswer(net::HttpMessage& answer) override {
    if (answer.status == 200) page = ordered_json::parse(answer.body, nullptr, false);
    settled_ = true;
    loop_.Stop();
  }
  void OnBroken(net::HttpClient::Broken, int) override {
    settled_ = true;
    loop_.Stop();
  }

  const std::string path_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  net::HttpClient client_;
  net::EventLoop::TimerId timer_ = 0;
  bool settled_ = false;
};

}  // namespace

ordered_json FetchPage(const sockaddr_in& from, const std::string& path) { return Fetch(from, path).page; }

}  // namespace opalroute::cli
