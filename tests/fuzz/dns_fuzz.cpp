// Fuzz target for the DNS decoder: it must not read past the end of any input, and a decoded message must be
// the same after encoding and decoding it again.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "dns/answer.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace opalroute::dns;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto decoded = Decode(bytes);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    if (error->offset > size || *error->reason == '\0') std::abort();
    return 0;
  }
  const Message& message = std::get<Message>(decoded);
  if (!message.questions.empty()) (void)ReadAnswer(message, message.id, message.questions.front());
  // Decoding drops the data of other record types and classes and the options of OPT records, so they are
  // missing from the encoded message.
  if (message.truncated) return 0;
  const std::string once = Encode(message);
  if (once.size() > 65535) return 0;  // names that were compressed in the input are encoded in full
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
