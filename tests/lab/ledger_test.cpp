// The ledger of messages, and what the auditor makes of restarts.
#include "lab/sockets/ledger.h"

#include <doctest/doctest.h>

#include "lab/auditor.h"
#include "lab/scenario.h"
#include "lab/tally.h"
#include "lab/world.h"

namespace opalroute::lab {
namespace {

struct Books {
  Scenario scenario = ReadScenario({{"partners", {{"count", 1}, {"endpoints", {1, 1}}}}});
  World world{scenario, 1};
  Auditor auditor{Auditor::Rules{}, scenario.settings.classes};
  Tally tally{world, 1};
  Ledger ledger{world, auditor, tally};
  std::size_t client = 0;
  Books() {
    auditor.OnEndpointListed(1, 1, 0);
    client = ledger.Ask({0, 2, 0});  // a payment
  }
};

TEST_CASE("lab: a message counts as delivered once its client has heard and its partner has served") {
  Books b;
  const std::uint64_t id = b.ledger.HandIn(0, 0, b.client);
  const int attempt = b.ledger.Arrived(0.1, 0, id, 1);
  b.ledger.Over(0.2, id, attempt, Outcome::kServed);
  CHECK(b.tally.result().classes[2].delivered == 0);
  b.ledger.TakenOn(0.3, id);
  CHECK(b.tally.result().classes[2].delivered == 1);
  b.ledger.Noticed(0.4, id, Ledger::Notice::kGivenUp, 0);  // does no harm
  CHECK(b.auditor.breaches().empty());
}

TEST_CASE("lab: what comes under a withdrawn id is void; after any other end it is a breach") {
  Books b;
  const std::uint64_t id = b.ledger.HandIn(0, 0, b.client);
  const int first = b.ledger.Arrived(0.1, 0, id, 1);
  b.ledger.Ran(0.1, id);
  b.ledger.Withdrawn(0.4, id);
  b.ledger.Over(0.45, id, first, Outcome::kServed);  // counts no more
  CHECK(b.ledger.Arrived(0.5, 0, id, 1) == Ledger::kVoid);
  CHECK(b.auditor.breaches().empty());
  const std::uint64_t again = b.ledger.HandIn(0.5, 1, b.client);
  CHECK(b.ledger.Arrived(0.6, 1, again, 1) == 0);
  b.ledger.Ran(0.6, again);  // no payment twice: the first counts no more
  CHECK(b.auditor.breaches().empty());
  CHECK(b.ledger.Arrived(2, 0, id, 1) == Ledger::kVoid);
  CHECK(b.auditor.breaches().empty());
  b.ledger.Over(2, again, 0, Outcome::kError);
  b.ledger.Failed(2, again);
  CHECK(b.ledger.Arrived(2.2, 1, again, 1) == Ledger::kVoid);  // it was on its way
  CHECK(b.auditor.breaches().empty());
  CHECK(b.ledger.Arrived(2.3, 1, again, 1) == Ledger::kVoid);
  CHECK(b.auditor.Count(BreachKind::kSentAfterEnd) == 1);
  b.ledger.Deaf(1, 3);  // frozen: it has heard nothing
  CHECK(b.ledger.Arrived(3.2, 1, again, 1) == Ledger::kVoid);
  CHECK(b.auditor.Count(BreachKind::kSentAfterEnd) == 1);
  CHECK(b.ledger.Arrived(3.3, 0, 99, 1) == Ledger::kVoid);  // nobody has handed it in
  CHECK(b.auditor.Count(BreachKind::kSentAfterEnd) == 2);
}

TEST_CASE("lab: a delivered message may come again after a kill, but no payment") {
  for (const int message_class : {0, 2}) {  // idempotent, at most once
    Books b;
    const std::uint64_t id = b.ledger.HandIn(0, 0, b.ledger.Ask({0, message_class, 0}));
    b.ledger.TakenOn(0, id);
    b.ledger.Over(0.2, id, b.ledger.Arrived(0.1, 0, id, 1), Outcome::kServed);
    CHECK(b.ledger.Arrived(2, 0, id, 1) == Ledger::kVoid);
    CHECK(b.auditor.Count(BreachKind::kSentAfterEnd) == (message_class == 2 ? 1 : 0));
  }
}

TEST_CASE("lab: a message handed back by notice comes again") {
  Books b;
  double advised = 0;
  b.ledger.on_handed_back = [&](std::size_t, Seconds advice) { advised = advice; };
  const std::uint64_t id = b.ledger.HandIn(0, 0, b.client);
  b.ledger.TakenOn(0.1, id);
  b.ledger.Noticed(1, id, Ledger::Notice::kHandedBack, 0.5);
  CHECK(advised == 0.5);
  CHECK(b.tally.result().refused == 1);
  CHECK(b.ledger.open() == 0);
}

TEST_CASE("lab: what a restart finds untried in good time, and ends early with no call, is counted") {
  Books b;
  const auto accepted = [&b] {
    const std::uint64_t id = b.ledger.HandIn(0, 3, b.client);
    b.ledger.TakenOn(0.1, id);
    return id;
  };
  const std::uint64_t ends_early = accepted(), ends_late = accepted(), is_called = accepted();
  const std::uint64_t was_called = accepted();
  b.ledger.Arrived(0.2, 3, was_called, 1);
  const double lasts = b.ledger.DeadlineOf(b.client);
  b.ledger.RelayRestarted(0.4 * lasts, 2);  // another relay
  CHECK(b.ledger.untried() == 0);
  b.ledger.RelayRestarted(0.4 * lasts, 3);
  b.ledger.RelayRestarted(0.45 * lasts, 3);
  CHECK(b.ledger.untried() == 3);
  b.ledger.Noticed(0.6 * lasts, ends_early, Ledger::Notice::kHandedBack, 0);
  b.ledger.Noticed(0.9 * lasts, ends_late, Ledger::Notice::kGivenUp, 0);
  b.ledger.Arrived(0.5 * lasts, 3, is_called, 1);
  b.ledger.Noticed(0.6 * lasts, is_called, Ledger::Notice::kGivenUp, 0);
  CHECK(b.ledger.untried_ended() == 1);
}

TEST_CASE("lab: restarts that are late, or end what they found untried, break a rule") {
  const auto breaches = [](const Auditor::Restarts& restarts) {
    Auditor auditor(Auditor::Rules{}, {});
    auditor.CheckRestarts(1, restarts);
    return auditor.breaches().size();
  };
  CHECK(breaches({}) == 0);
  CHECK(breaches({10, 1, 4, 2}) == 0);
  CHECK(breaches({9, 1, 4, 2}) == 1);
  CHECK(breaches({10, 1, 4, 3}) == 1);
}

}  // namespace
}  // namespace opalroute::lab
