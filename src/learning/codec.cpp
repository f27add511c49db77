#include "learning/codec.h"

#include <algorithm>
#include <cmath>

#include "learning.pb.h"
#include "net/framing.h"

namespace opalroute::learning {

namespace {

constexpr std::string_view kNoteMark = "OLN1";

std::int64_t Micros(Seconds seconds) {
  return static_cast<std::int64_t>(std::llround(std::clamp(seconds, 0.0, kLongestAge) * 1e6));
}

// Negative, endless or absurd durations are counted and left out.
std::optional<Seconds> InRange(std::int64_t micros, int& out_of_range) {
  if (micros >= 0 && micros <= Micros(kLongestAge)) return static_cast<double>(micros) / 1e6;
  ++out_of_range;
  return std::nullopt;
}

void WriteLane(const Heard& heard, wire::Lane& lane) {
  const Belief& b = heard.belief;
  lane.set_destination(b.destination);
  lane.set_endpoint(heard.endpoint);
  if (b.wait > 0) lane.set_wait_us(Micros(b.wait));
  if (b.out) lane.set_out_us(Micros(*b.out));
  if (b.back) lane.set_back_us(Micros(*b.back));
  if (b.served) lane.set_served_us(Micros(*b.served));
  if (b.refused) {
    lane.set_refused_us(Micros(*b.refused));
    lane.set_pace(b.pace);
  }
  if (b.measured) {
    lane.set_measured_us(Micros(*b.measured));
    lane.set_latency_us(Micros(b.latency));
  }
  if (b.barred) lane.set_barred_us(Micros(*b.barred));
}

bool ReadLane(const wire::Lane& lane, Heard& heard, int& out_of_range) {
  if (lane.endpoint().size() > kLongestName) {
    ++out_of_range;
    return false;
  }
  heard.endpoint = lane.endpoint();
  Belief& b = heard.belief;
  b.destination = lane.destination();
  if (lane.has_wait_us()) b.wait = InRange(lane.wait_us(), out_of_range).value_or(0);
  if (lane.has_out_us()) b.out = InRange(lane.out_us(), out_of_range);
  if (lane.has_back_us()) b.back = InRange(lane.back_us(), out_of_range);
  if (lane.has_served_us()) b.served = InRange(lane.served_us(), out_of_range);
  if (lane.has_refused_us()) b.refused = InRange(lane.refused_us(), out_of_range);
  b.pace = lane.pace();
  if (b.refused && !(b.pace > 0 && b.pace <= kMostPace)) {  // also what is no number
    b.refused.reset();
    ++out_of_range;
  }
  if (lane.has_measured_us()) b.measured = InRange(lane.measured_us(), out_of_range);
  if (b.measured) {
    const auto latency = InRange(lane.latency_us(), out_of_range);
    if (!latency) b.measured.reset();
    b.latency = latency.value_or(0);
  }
  if (lane.has_barred_us()) b.barred = InRange(lane.barred_us(), out_of_range);
  return true;
}

template <typename Lanes>
std::vector<Heard> ReadLanes(const Lanes& lanes, int& out_of_range) {
  std::vector<Heard> all;
  for (const wire::Lane& lane : lanes) {
    Heard heard;
    if (ReadLane(lane, heard, out_of_range)) all.push_back(std::move(heard));
  }
  return all;
}

Seconds ReadSpan(std::int64_t micros) { return std::clamp(static_cast<double>(micros) / 1e6, 0.0, 1e9); }

}  // namespace

std::string Write(const Message& message) {
  wire::Frame frame;
  if (const auto* ask = std::get_if<Ask>(&message)) {
    frame.mutable_ask()->set_version(ask->version);
    frame.mutable_ask()->set_name(ask->name);
  } else if (const auto* begin = std::get_if<Begin>(&message)) {
    frame.mutable_begin()->set_version(begin->version);
    frame.mutable_begin()->set_name(begin->name);
    frame.mutable_begin()->set_running_us(static_cast<std::int64_t>(begin->running * 1e6));
    frame.mutable_begin()->set_written_at_us(begin->written_at);
  } else if (const auto* chunk = std::get_if<Chunk>(&message)) {
    frame.mutable_chunk()->set_since_begin_us(static_cast<std::int64_t>(chunk->since_begin * 1e6));
    for (const Heard& heard : chunk->lanes) WriteLane(heard, *frame.mutable_chunk()->add_lanes());
  } else {
    frame.mutable_end()->set_lanes(std::get<End>(message).lanes);
  }
  return net::Frame(frame.SerializeAsString());
}

std::optional<Message> Read(std::string_view record) {
  wire::Frame frame;
  if (!frame.ParseFromArray(record.data(), static_cast<int>(record.size()))) return std::nullopt;
  if (frame.has_ask()) return Ask{frame.ask().version(), frame.ask().name().substr(0, kLongestName)};
  if (frame.has_begin()) {
    const wire::Begin& begin = frame.begin();
    return Begin{begin.version(), begin.name().substr(0, kLongestName), ReadSpan(begin.running_us()),
                 begin.written_at_us()};
  }
  if (frame.has_chunk()) {
    Chunk chunk;
    chunk.since_begin = ReadSpan(frame.chunk().since_begin_us());
    chunk.lanes = ReadLanes(frame.chunk().lanes(), chunk.out_of_range);
    return chunk;
  }
  if (frame.has_end()) return End{frame.end().lanes()};
  return std::nullopt;
}

std::string WriteNote(const Note& note, std::size_t& written) {
  wire::Note out;
  out.set_version(note.version);
  out.set_nonce(note.nonce);
  out.set_asks(note.asks);
  written = 0;
  for (const Heard& heard : note.lanes) {
    WriteLane(heard, *out.add_lanes());
    if (kNoteMark.size() + out.ByteSizeLong() > kNoteBytes) {
      out.mutable_lanes()->RemoveLast();
      break;
    }
    ++written;
  }
  return std::string(kNoteMark) + out.SerializeAsString();
}

std::optional<Note> ReadNote(std::string_view bytes) {
  if (bytes.substr(0, kNoteMark.size()) != kNoteMark) return std::nullopt;
  bytes.remove_prefix(kNoteMark.size());
  wire::Note in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  Note note;
  note.version = in.version();
  note.nonce = in.nonce();
  note.asks = in.asks();
  note.lanes = ReadLanes(in.lanes(), note.out_of_range);
  return note;
}

void Age(Belief& b, Seconds by) {
  b.wait = std::max(0.0, b.wait - by);
  for (std::optional<Seconds>* age : {&b.out, &b.back, &b.served, &b.refused, &b.measured, &b.barred})
    if (*age) **age += by;
}

}  // namespace opalroute::learning
