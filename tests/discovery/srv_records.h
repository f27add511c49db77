// DNS questions and answers for the SRV name of one destination, for tests of SRV as an endpoint source.
#pragma once

#include <arpa/inet.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lab/dns/fake_name_server.h"

namespace opalroute {

constexpr long long kSrvDestination = 7;
inline const std::string kSrvName = "_api._tcp.p7.example";

inline dns::Name DomainName(const std::string& text) { return *dns::Name::Parse(text); }

inline dns::Question SrvQuestion(const std::string& name = kSrvName) {
  return {DomainName(name), dns::Type::kSrv};
}

inline dns::Question AddressQuestion(const std::string& host) { return {DomainName(host), dns::Type::kA}; }

struct SrvEndpoint {
  std::string target;
  std::uint16_t port = 0;
};

// An answer to the SRV question for kSrvName; `ttl` in seconds.
inline lab::FakeNameServer::Entry SrvAnswer(const std::vector<SrvEndpoint>& endpoints, std::uint32_t ttl) {
  lab::FakeNameServer::Entry entry;
  for (const SrvEndpoint& endpoint : endpoints) {
    const dns::Srv record{1, 1, endpoint.port, DomainName(endpoint.target)};
    entry.answers.push_back({DomainName(kSrvName), dns::Type::kSrv, dns::kInternet, ttl, record});
  }
  return entry;
}

inline lab::FakeNameServer::Entry AddressAnswer(const std::string& host, const char* address,
                                                std::uint32_t ttl) {
  in_addr ip{};
  inet_pton(AF_INET, address, &ip);
  lab::FakeNameServer::Entry entry;
  entry.answers = {{DomainName(host), dns::Type::kA, dns::kInternet, ttl, ip}};
  return entry;
}

}  // namespace opalroute
