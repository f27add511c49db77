// Whatever bytes come: nothing is read past their end, and what is read once reads the same when written
// anew.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "dns/answer.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace opalroute::dns;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto decoded = Decode(bytes);
  if (const auto* fault = std::get_if<Fault>(&decoded)) {
    if (fault->at > size || *fault->what == '\0') std::abort();
    return 0;
  }
  const Message& message = std::get<Message>(decoded);
  if (!message.questions.empty()) (void)ReadAnswer(message, message.id, message.questions.front());
  // Data of other types and classes is not kept, and an OPT record's options neither: written anew they are
  // gone.
  if (message.truncated) return 0;
  const std::string once = Encode(message);
  if (once.size() > 65535) return 0;  // compressed names, written whole
  const auto again = Decode(once);
  if (!std::holds_alternative<Message>(again) && size < 4096) {
    for (const auto* section : {&message.answers, &message.authority, &message.additional})
      for (const Record& r : *section)
        if (r.data.index() == 0) return 0;
    std::abort();
  }
  if (const auto* m = std::get_if<Message>(&again))
    if (Encode(*m) != once) std::abort();
  return 0;
}
