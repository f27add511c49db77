// DNS records of one destination's SRV name, for the tests of SRV as a source of endpoints.
#pragma once

#include <arpa/inet.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lab/dns/name_server.h"

namespace opalroute {

constexpr long long kSrvDestination = 7;
inline const std::string kSrvName = "_api._tcp.p7.example";

inline dns::Name DomainName(const std::string& text) { return *dns::Name::Parse(text); }

inline dns::Question SrvQuestion(const std::string& name = kSrvName) {
  return {DomainName(name), dns::Type::kSrv};
}

inline dns::Question AddressQuestion(const std::string& host) { return {DomainName(host), dns::Type::kA}; }

struct SrvService {
  std::string target;
  std::uint16_t port = 0;
};

// The answer to kSrvName's question; `lifetime` in seconds.
inline lab::NameServer::Entry SrvAnswer(const std::vector<SrvService>& services, std::uint32_t lifetime) {
  lab::NameServer::Entry entry;
  for (const SrvService& service : services) {
    const dns::Srv record{1, 1, service.port, DomainName(service.target)};
    entry.answers.push_back({DomainName(kSrvName), dns::Type::kSrv, dns::kInternet, lifetime, record});
  }
  return entry;
}

inline lab::NameServer::Entry AddressAnswer(const std::string& host, const char* address,
                                            std::uint32_t lifetime) {
  in_addr ip{};
  inet_pton(AF_INET, address, &ip);
  lab::NameServer::Entry entry;
  entry.answers = {{DomainName(host), dns::Type::kA, dns::kInternet, lifetime, ip}};
  return entry;
}

}  // namespace opalroute
