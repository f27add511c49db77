// Clients that misuse their connections to a relay: they write slowly, stop halfway, never read, or send at
// full speed. A client whose connection ends opens another one.
#pragma once

#include <netinet/in.h>

#include <list>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/event_loop.h"

namespace opalroute::lab {

enum class HostileKind {
  kStalledBody,      // all but the last 8 bytes of a body of 64 KiB, then nothing
  kStalledChunks,    // the same in chunks of one byte
  kSlowBody,         // 3 kB of a body of 64 KiB every 70 ms
  kUnreadResponses,  // requests at full speed whose responses are not read
  kLongField,        // a header field of 16 kB that does not end
  kManyFields,       // 3,200 short header fields, and no end of the head
  kWholeRequests,    // sound requests with bodies of 64 KiB
  kUnsoundFlood,     // unsound requests at full speed, each with a new id
  kSoundFlood,       // sound requests at full speed, each with a new id
};
const char* NameOf(HostileKind kind);

// What a sound request to the relay under test names.
struct ClientRequestFields {
  std::string request_class;
  std::string tenant;
  int destination = 0;
};

class HostileClients {
 public:
  HostileClients(net::EventLoop& loop, const sockaddr_in& relay, ClientRequestFields fields);
  ~HostileClients();

  // Opens `count` connections of that kind.
  void Connect(HostileKind kind, int count);
  // Closes all connections.
  void Leave();

 private:
  class Client;
  std::string TextOf(HostileKind kind, long number) const;
  std::string Head(long number, const std::string& body_field) const;
  void Open(HostileKind kind);
  void Drop(Client& client);

  net::EventLoop& loop_;
  const sockaddr_in relay_;
  const ClientRequestFields fields_;
  std::list<std::unique_ptr<Client>> clients_;
  long last_number_ = 0;
  bool leaving_ = false;
};

}  // namespace opalroute::lab
