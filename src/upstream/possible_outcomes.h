// What the own response of a request may have been where the responses of its connection may be shifted: an
// HTTP/1.1 response names no request, so behind a surplus response each later one is read one place too late.
// The own response of a request is then any of those from its place on. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "opalroute/events.h"

namespace opalroute {

// What a response says of the request that it belongs to.
enum class ResponseMeaning : std::uint8_t {
  kDelivered,   // the request has run; nothing more is owed
  kOver,        // the request is over and must not be sent again; nothing more is owed
  kNeverRan,    // it has not run, and may be sent again
  kMayHaveRun,  // it may have run: an error, or a response that was never read
};

ResponseMeaning MeaningOf(Outcome outcome, bool request_ended);

// A set of meanings.
class PossibleOutcomes {
 public:
  void Add(ResponseMeaning meaning) { bits_ |= BitOf(meaning); }
  bool Contains(ResponseMeaning meaning) const { return (bits_ & BitOf(meaning)) != 0; }
  // Whether the set contains nothing else.
  bool ConsistOf(ResponseMeaning meaning) const { return (bits_ & ~BitOf(meaning)) == 0; }

 private:
  static unsigned BitOf(ResponseMeaning meaning) { return 1U << static_cast<unsigned>(meaning); }

  unsigned bits_ = 0;
};

// What is certain of a request whose outcome is one of several.
enum class Verdict : std::uint8_t {
  kEnded,       // nothing more is owed, whichever it was
  kNeverRan,    // it has not run, whichever it was
  kMayHaveRun,  // it may have run or not, and may be sent again as its class allows
  kMayBeOver    // it may be over, so it must not be sent again, or not be over, so its end is owed
};
Verdict Judge(const PossibleOutcomes& possible);

// A response as it was read: its place among those of its connection, and its meaning.
struct ReadResponse {
  int place = 0;
  ResponseMeaning meaning{};
};

// What follows the last response of a connection.
struct EndOfResponses {
  ResponseMeaning meaning{};
  // True: a further response, so that any earlier response may be shifted. False: nothing was read, so that
  // only the response of the last place may be missing.
  bool is_surplus = false;
};

// The possible outcomes of the request at `place`, given the responses of its connection in their order.
PossibleOutcomes PossibleOutcomesAt(int place, const std::vector<ReadResponse>& responses,
                                    const EndOfResponses& end);

}  // namespace opalroute
